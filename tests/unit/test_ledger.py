"""The ledger never admits more than the capacity of the instance."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from sapphirelead.model_job import Kind
from sapphirelead.model_ledger import RESERVATION_TTL_S, Ledger
from sapphirelead.model_resources import NO_RESOURCES, Resources

SIZE = Resources(4000, 4000, 2)
amounts = st.builds(Resources, st.integers(0, 5000), st.integers(0, 5000), st.integers(0, 3))


class LedgerMachine(RuleBasedStateMachine):
    """Random offers, starts, ends and expiries, without measurements."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger(SIZE, slots=3, connections=2)
        self.now = 0.0
        self.offers: dict[str, Resources] = {}
        self.tasks: dict[str, Resources] = {}
        self.number = 0

    @rule(amount=amounts)
    def offer(self, amount: Resources) -> None:
        self.number += 1
        name = str(self.number)
        if isinstance(self.ledger.reserve(name, name, amount, False, self.now), Ok):
            self.offers[name] = amount

    @rule(amount=amounts, data=st.data())
    def start(self, amount: Resources, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from([*self.offers, "none"]))
        size = self.offers.pop(name, amount)
        self.number += 1
        key = f"t{self.number}"
        if isinstance(self.ledger.charge(name, key, Kind.BATCH, size, self.now), Ok):
            self.tasks[key] = size

    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        if self.tasks:
            key = data.draw(st.sampled_from(sorted(self.tasks)))
            del self.tasks[key]
            self.ledger.release(key)

    @rule(seconds=st.floats(0, 2 * RESERVATION_TTL_S))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.ledger.expire_reservations(self.now)

    @rule()
    def request(self) -> None:
        if self.ledger.admit_request():
            assert self.ledger.requests <= 2
        else:
            self.ledger.release_request()

    @invariant()
    def charges_fit_in_capacity(self) -> None:
        assert self.ledger.charged.fits_in(SIZE)
        assert sum(self.tasks.values(), NO_RESOURCES).fits_in(self.ledger.charged)


TestLedgerMachine = LedgerMachine.TestCase


@given(st.lists(st.tuples(amounts, amounts), max_size=8), amounts)
def test_excess_blocks_admission_and_is_resolved_by_eviction(
    tasks: list[tuple[Resources, Resources]], more: Resources
) -> None:
    ledger = Ledger(SIZE, 1, 1)
    for index, (declared, measured) in enumerate(tasks):
        ledger.adopt(str(index), Kind.BATCH, declared, measured)
    if not ledger.charged.fits_in(SIZE):
        over = ledger.charged.elementwise_max(SIZE) - SIZE
        probe = over.elementwise_max(Resources(1, 1, 1))
        assert isinstance(ledger.reserve("o", "k", probe, False, 0.0), Err)
    for key in ledger.excess().evict:
        ledger.release(key)
    rest = ledger.excess()
    assert rest.evict == ()


@pytest.mark.parametrize(
    ("declared", "measured", "free"),
    [
        pytest.param(1000, 900, 3000, id="measured below declaration"),
        pytest.param(1000, 1000, 3000, id="measured at declaration, no margin"),
        pytest.param(1000, 2000, 1800, id="measured above declaration, with margin"),
        pytest.param(1000, 9000, 0, id="measured above capacity"),
    ],
)
def test_charge_follows_measurement(declared: int, measured: int, free: int) -> None:
    ledger = Ledger(SIZE, 1, 1)
    ledger.charge("", "k", Kind.BATCH, Resources(declared), 0.0)
    ledger.record_usage("k", Resources(measured))
    assert ledger.free.cpu_millicores == free


def test_throttling_and_eviction_order() -> None:
    ledger = Ledger(SIZE, 1, 1)
    for key, kind in [("old", Kind.BATCH), ("watch", Kind.WATCH), ("new", Kind.BATCH)]:
        ledger.charge("", key, kind, Resources(1000, 1000), 0.0)
    assert ledger.excess().evict == () and ledger.excess().throttle == ()
    ledger.record_usage("old", Resources(2500, 1000))
    assert ledger.excess().throttle == ("old",)
    for key in ("old", "watch", "new"):
        ledger.record_usage(key, Resources(0, 1500))
    assert ledger.excess().evict == ("new",)
    ledger.record_usage("watch", Resources(0, 9000))
    assert ledger.excess().evict == ("new", "old", "watch")
