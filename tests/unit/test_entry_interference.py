"""What an entry learns of interference from the beats of its region."""

from dataclasses import replace

from sapphirelead.entry_interference import FleetInterference
from sapphirelead.wire_messages import ClassSample, ServiceSample
from tests.unit.fakes import make_view


def test_noise_learnt_on_one_instance_counts_for_all() -> None:
    fleet = FleetInterference(lambda: 2.0)
    quiet = make_view("a")
    for number in range(30):
        beat = ServiceSample("checks", 100 + number % 3, 0, 5.0, 10.0 + number % 2)
        fleet.observe(replace(quiet, latency=(beat,)))
    assert fleet.slowdown("checks", "estimate") == 1.0
    for number in range(30):
        beat = ServiceSample("checks", 100 + number % 3, 0, 9.0, 30.0 + number % 2)
        noisy = (ClassSample("estimate", 2, 2000),)
        fleet.observe(replace(make_view("b"), latency=(beat,), classes=noisy))
    # The tail tripled beside a class that used half of the instance.
    assert 4.0 < fleet.slowdown("checks", "estimate") < 6.0
    assert fleet.slowdown("checks", "rollover") == 1.0


def test_repeated_report_is_learnt_once() -> None:
    fleet = FleetInterference(lambda: 2.0)
    beat = (ServiceSample("checks", 100, 0, 9.0, 30.0),)
    view = replace(make_view("a"), latency=beat, classes=(ClassSample("estimate", 2, 2000),))
    fleet.observe(view)
    once = fleet.slowdown("checks", "estimate")
    for _ in range(10):
        fleet.observe(view)
    assert fleet.slowdown("checks", "estimate") == once
