"""Tests the interference model that an entry updates from heartbeats of its region."""

from dataclasses import replace

from sapphirelead.entry_interference import RegionInterference
from sapphirelead.wire_messages import ClassSample, ServiceSample
from tests.unit.fakes import make_view


def test_interference_on_one_instance_applies_to_all() -> None:
    fleet = RegionInterference(lambda: 2.0)
    idle = make_view("a")
    for number in range(30):
        sample = ServiceSample("checks", 100 + number % 3, 0, 5.0, 10.0 + number % 2)
        fleet.observe(replace(idle, latency=(sample,)))
    assert fleet.slowdown("checks", "estimate") == 1.0
    for number in range(30):
        sample = ServiceSample("checks", 100 + number % 3, 0, 9.0, 30.0 + number % 2)
        classes = (ClassSample("estimate", 2, 2000),)
        fleet.observe(replace(make_view("b"), latency=(sample,), classes=classes))
    # The tail latency tripled while the class used half of the instance.
    assert 4.0 < fleet.slowdown("checks", "estimate") < 6.0
    assert fleet.slowdown("checks", "rollover") == 1.0


def test_repeated_report_is_applied_once() -> None:
    fleet = RegionInterference(lambda: 2.0)
    sample = (ServiceSample("checks", 100, 0, 9.0, 30.0),)
    view = replace(make_view("a"), latency=sample, classes=(ClassSample("estimate", 2, 2000),))
    fleet.observe(view)
    expected = fleet.slowdown("checks", "estimate")
    for _ in range(10):
        fleet.observe(view)
    assert fleet.slowdown("checks", "estimate") == expected
