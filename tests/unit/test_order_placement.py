"""Order of queued jobs, team quotas and placement on instances."""

from dataclasses import replace

import pytest

from sapphirelead.model_config import Weights
from sapphirelead.model_job import Job, JobSpec, Kind
from sapphirelead.model_resources import Resources
from sapphirelead.policy_order import QueuedJob, TeamShare, order
from sapphirelead.policy_placement import (
    InstanceRecord,
    PlacementRequest,
    place,
    place_by_eviction,
)
from sapphirelead.wire_messages import ClassSample
from tests.unit.fakes import make_view

TOTAL = Resources(10_000, 10_000)


def queued(
    key: str,
    team: str = "t",
    *,
    urgent: bool = False,
    priority: int = 5,
    since: float = 100.0,
    deadline_s: int = 0,
    cpu: int = 1000,
) -> QueuedJob:
    spec = JobSpec(key, Kind.BATCH, "c", team, Resources(cpu), deadline_ms=deadline_s * 1000)
    return QueuedJob(Job(spec), since, urgent=urgent, priority=priority)


@pytest.mark.parametrize(
    ("name", "jobs", "used", "shares", "expected"),
    [
        ("urgent first", [queued("a"), queued("b", urgent=True)], {}, {}, "ba"),
        ("higher priority first", [queued("a"), queued("b", priority=6)], {}, {}, "ba"),
        (
            "urgent before any priority",
            [queued("a", priority=9), queued("b", urgent=True, priority=1)],
            {},
            {},
            "ba",
        ),
        (
            "first come, first served within a team",
            [queued("b", since=99), queued("a")],
            {},
            {},
            "ba",
        ),
        ("near deadline first", [queued("a"), queued("b", deadline_s=30)], {}, {}, "ba"),
        (
            "a burst of one team does not starve another",
            [queued("a", "x"), queued("b", "x"), queued("c", "x"), queued("d", "y")],
            {},
            {},
            "adbc",
        ),
        (
            "team with the smaller share goes first",
            [queued("a", "x"), queued("b", "y")],
            {"x": Resources(5000)},
            {},
            "ba",
        ),
        (
            "weight scales the share",
            [queued("a", "x"), queued("b", "y")],
            {"x": Resources(4000), "y": Resources(3000)},
            {"x": TeamShare(weight=4.0)},
            "ab",
        ),
        (
            "long wait outranks a smaller share",
            [queued("a", "x", since=-50.0), queued("b", "y")],
            {"x": Resources(9000)},
            {},
            "ab",
        ),
        (
            "job over quota is left out",
            [queued("a", "x"), queued("b", "x"), queued("c", "y")],
            {"x": Resources(1000)},
            {"x": TeamShare(quota=Resources(2000))},
            "ca",
        ),
    ],
)
def test_order(
    name: str,
    jobs: list[QueuedJob],
    used: dict[str, Resources],
    shares: dict[str, TeamShare],
    expected: str,
) -> None:
    picked = order(jobs, used, shares, TOTAL, at=100.0, limit=10)
    assert "".join(item.job.spec.key for item in picked) == expected, name


def test_order_stops_at_the_limit() -> None:
    assert len(order([queued(f"j{n}") for n in range(50)], {}, {}, TOTAL, 100.0, 7)) == 7


WANTED = PlacementRequest(queued("j").job)


@pytest.mark.parametrize(
    ("name", "wanted", "records", "slowdowns", "expected"),
    [
        ("lowest id on a tie", WANTED, {}, {}, "a"),
        (
            "offered resources are not offered again",
            WANTED,
            {"a": InstanceRecord(offered={"o": Resources(3500)})},
            {},
            "b",
        ),
        ("interference", WANTED, {}, {"s-a": 3.0}, "b"),
        ("tried before", replace(WANTED, job=Job(WANTED.job.spec, tried=("a",))), {}, {}, "b"),
        ("failing", WANTED, {"a": InstanceRecord(failures=2, failed_at=99.0)}, {}, "b"),
        (
            "failing instance is avoided while the other is full",
            WANTED,
            {
                "a": InstanceRecord(failures=2, failed_at=99.0),
                "b": InstanceRecord(offered={"o": Resources(4000)}),
            },
            {},
            None,
        ),
        (
            "no instance is avoided if all are failing",
            WANTED,
            {
                "a": InstanceRecord(failures=2, failed_at=99.0),
                "b": InstanceRecord(failures=5, failed_at=99.0),
            },
            {},
            "a",
        ),
        ("failures expire", WANTED, {"a": InstanceRecord(failures=2, failed_at=1.0)}, {}, "a"),
        ("zone preferred", replace(WANTED, zones=("z2",)), {}, {}, "b"),
        ("avoided service", replace(WANTED, avoid_services=frozenset({"s-a"})), {}, {}, "b"),
        ("fits nowhere", PlacementRequest(queued("j", cpu=9000).job), {}, {}, None),
        ("no spill", replace(WANTED, zones=("z9",), spill=False), {}, {}, None),
    ],
)
def test_place(
    name: str,
    wanted: PlacementRequest,
    records: dict[str, InstanceRecord],
    slowdowns: dict[str, float],
    expected: str | None,
) -> None:
    views = [
        replace(make_view("a"), services=frozenset({"s-a"})),
        replace(make_view("b"), zone="z2", services=frozenset({"s-b"})),
    ]

    def slowdown(service: str, _job_class: str) -> float:
        return slowdowns.get(service, 1.0)

    found = place(wanted, views, records, slowdown, Weights(), at=100.0)
    assert (found.id if found else None) == expected, name


def test_eviction_prefers_instance_that_frees_least() -> None:
    full = replace(make_view("a"), free=Resources(0), classes=(ClassSample("c", 4, 4000),))
    half = replace(make_view("b"), free=Resources(500, 4096), classes=(ClassSample("c", 3, 3500),))
    services_only = replace(make_view("c"), free=Resources(0))
    found = place_by_eviction(WANTED, [full, half, services_only], {}, at=100.0)
    assert found is not None
    assert found.id == "b"


@pytest.mark.parametrize(
    ("wanted", "expected"),
    [
        (replace(WANTED, zones=("z2",), spill=False), "b"),
        (replace(WANTED, avoid_services=frozenset({"s-a"})), "b"),
        (replace(WANTED, zones=("z1",), spill=False, avoid_services=frozenset({"s-a"})), None),
    ],
)
def test_eviction_keeps_to_the_rule(wanted: PlacementRequest, expected: str | None) -> None:
    """Guards against an urgent job that is placed where its rule forbids it."""
    full = replace(make_view("a"), free=Resources(0), classes=(ClassSample("c", 4, 4000),))
    views = [
        replace(full, services=frozenset({"s-a"})),
        replace(full, id="b", zone="z2", services=frozenset({"s-b"})),
    ]
    found = place_by_eviction(wanted, views, {}, at=100.0)
    assert (found.id if found else None) == expected


def lost(losses: int, tried: tuple[str, ...] = ()) -> PlacementRequest:
    """Return the request of a job that has lost its holders."""
    return PlacementRequest(replace(WANTED.job, losses=losses, tried=tried))


FULL = InstanceRecord(offered={"o": Resources(4000)})


@pytest.mark.parametrize(
    ("name", "wanted", "records", "expected"),
    [
        ("no loss", lost(0), {}, "a"),
        ("one loss", lost(1), {}, "a"),
        ("instance that was lost is avoided", lost(1, ("a",)), {}, "b"),
        ("two losses", lost(2), {}, "c"),
        ("not beside services, and not where it was lost", lost(2, ("c",)), {}, "d"),
        ("beside services if nothing else is free", lost(2), {"c": FULL, "d": FULL}, "a"),
        ("every other instance was lost", lost(5, ("a", "c", "d")), {}, "b"),
        ("every instance was lost", lost(5, ("a", "b", "c", "d")), {}, "c"),
    ],
)
def test_job_of_lost_holders_is_placed_away_from_services(
    name: str, wanted: PlacementRequest, records: dict[str, InstanceRecord], expected: str
) -> None:
    """Guards against a poison task that takes down latency-critical services with its instance,
    while another instance could run it."""
    views = [
        replace(make_view("a"), services=frozenset({"s"})),
        replace(make_view("b"), services=frozenset({"s"})),
        replace(make_view("c"), slots_used=7),
        replace(make_view("d"), slots_used=7),
    ]
    found = place(wanted, views, records, lambda _service, _job_class: 1.0, Weights(), at=100.0)
    assert (found.id if found else None) == expected, name


BESIDE_FULL = {"b": FULL}


@pytest.mark.parametrize(
    ("name", "wanted", "records", "expected"),
    [
        ("just queued", replace(lost(0, ("a",)), waited_s=1.0), BESIDE_FULL, None),
        ("long queued", replace(lost(0, ("a",)), waited_s=61.0), BESIDE_FULL, "a"),
        ("another has room", replace(lost(0, ("a",)), waited_s=61.0), {}, "b"),
        (
            "still failing",
            replace(lost(0, ("a",)), waited_s=61.0),
            {**BESIDE_FULL, "a": InstanceRecord(failures=2, failed_at=99.0)},
            None,
        ),
        (
            "bound to the zone of the instance",
            replace(lost(0, ("a",)), zones=("z1",), spill=False),
            {},
            "a",
        ),
        (
            "kept away from a service of the other",
            replace(lost(0, ("a",)), avoid_services=frozenset({"s-b"})),
            {},
            "a",
        ),
    ],
)
def test_job_may_return_to_the_only_instance_with_room(
    name: str, wanted: PlacementRequest, records: dict[str, InstanceRecord], expected: str | None
) -> None:
    """Guards against a job that never runs because it failed once on the only instance that has
    room for it, or that its rule allows."""
    views = [make_view("a"), replace(make_view("b"), zone="z2", services=frozenset({"s-b"}))]
    found = place(wanted, views, records, lambda _service, _job_class: 1.0, Weights(), at=100.0)
    assert (found.id if found else None) == expected, name
