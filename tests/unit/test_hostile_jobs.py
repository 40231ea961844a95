"""Bodies of legal size that cost more than their bytes: both decoders of jobs, and heartbeats."""

import tracemalloc
from collections.abc import Callable
from typing import Any, Final

import msgspec
import pytest
from result import Err, Ok, Result

from sapphirelead.fleet_jobs import MAX_JOB_BYTES, parse_job_of_steps
from sapphirelead.model_config import QueueModel
from sapphirelead.node_codec import decode_node, encode_node
from sapphirelead.node_messages import LeaderQuery
from sapphirelead.platform.decoding import decode
from sapphirelead.platform.heartbeats import _DECODER as HEARTBEATS
from sapphirelead.platform.ingress import decode_job
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_job import Job, decode_deltas, encode_deltas, encode_spec
from sapphirelead.sched_spec import (
    MAX_PAYLOAD_BYTES,
    MAX_TASKS,
    JobSpec,
    QueuePolicy,
    StepSpec,
    check_job,
)
from sapphirelead.wire_codec import decode as decode_frame
from sapphirelead.wire_codec import encode
from sapphirelead.wire_messages import ChannelHello

BODY_BYTES: Final = 1 << 20
ALLOCATED_PER_BYTE: Final = 8
ROW_BYTES: Final = 65_536
DEPTH: Final = 15_000
MAX_BEAT_BYTES: Final = 4_096

POLICY: Final = QueuePolicy("s")
CONFIG: Final = QueueConfig.from_routes(1, [], {"q": POLICY})


def platform_job(body: bytes) -> Result[JobSpec, str]:
    """Decode a job as the platform's callers send it."""
    return decode_job(body, "ab", "q", CONFIG, 0)


def own_job(body: bytes) -> Result[JobSpec, Any]:
    """Decode a job as callers of the own API send it."""
    return parse_job_of_steps(body, "ab", "q", QueueModel(service="s"), 0)


def filled(begin: bytes, item: bytes, end: bytes, size: int = BODY_BYTES) -> bytes:
    """Return a body of about ``size`` bytes that repeats ``item``, separated by commas."""
    number = (size - len(begin) - len(end)) // (len(item) + 1)
    return begin + b",".join([item] * number) + end


BEGIN: Final = b'{"spec":"","steps":['
LONG_BODIES: Final = {
    "steps": filled(BEGIN, b"{}", b"]}"),
    "steps_without_tasks": filled(BEGIN, b'{"count":0}', b"]}"),
    "dependencies": filled(BEGIN + b'{},{"after":[', b"0", b"]}]}"),
    "large_dependencies": filled(BEGIN + b'{},{"after":[', b"9007199254740991", b"]}]}"),
    "steps_of_another_type": filled(BEGIN, b"[]", b"]}"),
    "unknown_fields": filled(BEGIN + b'{"x":[', b"{}", b']},{"count":0}]}'),
    "keys": filled(BEGIN + b"{", b'"a":0', b'},{"count":0}]}'),
    "long_key": BEGIN + b'{"' + b"k" * BODY_BYTES + b'":0},{"count":0}]}',
    "long_label": BEGIN + b'{"requires":"' + b"x" * BODY_BYTES + b'"}]}',
    "long_rack": BEGIN + b'{"affinity":"' + b"x" * BODY_BYTES + b'"}]}',
    "long_image": BEGIN + b'{"image":"' + b"x" * BODY_BYTES + b'"}]}',
    "long_payload": b'{"steps":[{}],"spec":"' + b"x" * BODY_BYTES + b'"}',
    "long_number": BEGIN + b'{"cpu":' + b"1" * BODY_BYTES + b"}]}",
    "nested_arrays": b'{"x":' + b"[" * 500_000 + b"]" * 500_000 + b',"spec":"","steps":[{}]}',
}


@pytest.mark.parametrize("name", LONG_BODIES)
def test_a_hostile_job_is_rejected_at_a_bounded_cost(name: str) -> None:
    """Guards against a body whose decoding allocates a multiple of its size."""
    body = LONG_BODIES[name]
    tracemalloc.start()
    found = platform_job(body)
    allocated = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert isinstance(found, Err)
    assert allocated < ALLOCATED_PER_BYTE * len(body)


OWN_BODIES: Final = {
    "nested_input": b'{"steps":[{}],"input":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "nested_field": b'{"steps":[{}],"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "input_not_utf_8": b'{"steps":[{}],"input":"\xff"}',
    "steps": filled(b'{"steps":[', b"{}", b"]}", MAX_JOB_BYTES - 1),
    "tasks": b'{"steps":[{"tasks":1000000000}]}',
    "long_number": b'{"steps":[{"cpu_millicores":' + b"1" * 30_000 + b"}]}",
}


@pytest.mark.parametrize("name", OWN_BODIES)
def test_the_own_api_rejects_a_hostile_job(name: str) -> None:
    """Guards against an exception in place of the rejection of a malformed job."""
    assert isinstance(own_job(OWN_BODIES[name]), Err)


DECODERS: Final[dict[str, tuple[Callable[[bytes], Result[JobSpec, Any]], bytes]]] = {
    "platform": (
        platform_job,
        b'{"times":2000,"interval_ms":0,"spec":"","steps":[{"count":100}]}',
    ),
    "own": (own_job, b'{"occurrences":2000,"interval_ms":0,"steps":[{"tasks":100}]}'),
}


@pytest.mark.parametrize("name", DECODERS)
def test_occurrences_that_are_due_at_once_do_not_exist_at_once(name: str) -> None:
    """Guards against a schedule without an interval, all of whose tasks were made at once."""
    decoder, body = DECODERS[name]
    found = decoder(body)
    if isinstance(found, Ok):
        job = Job.accept(found.ok_value)
        job.add_due_occurrences(1)
        assert 0 < sum(1 for _ in job.tasks()) <= MAX_TASKS


def test_a_few_missed_occurrences_are_due_at_once() -> None:
    """Guards against a bound on occurrences that a leader meets after a pause."""
    steps = (StepSpec(tasks=20), StepSpec(tasks=30, after=(0,)))
    spec = JobSpec("ab", "q", "", steps, POLICY, first_due_ms=0, interval_ms=1000, occurrences=60)
    job = Job.accept(spec)
    job.add_due_occurrences(59_000)
    assert len(job.occurrences) == 60


def test_the_progress_of_a_long_schedule_fits_into_a_row() -> None:
    """Guards against finished occurrences of short tasks that outgrow a row one by one."""
    spec = JobSpec("ab", "q", "", (StepSpec(),), POLICY, occurrences=10**9)
    job = Job(spec, finished=set(range(30_000)) - {7, 29_000})
    delta = job.take_delta()
    assert len(encode_deltas([delta])) < ROW_BYTES
    restored = Job(spec)
    restored.apply(decode_deltas(encode_deltas([delta]))[0])
    assert restored == job == Job.decode(spec, job.encode())


def test_an_accepted_job_fits_into_a_row() -> None:
    """Guards against an accepted job that the store refuses, so that nothing is stored after it."""
    step = StepSpec(label="l" * 200, near_rack="r" * 200, image="i" * 200)
    spec = JobSpec("ab", "q", "p" * MAX_PAYLOAD_BYTES, (step,) * 1_000, POLICY)
    assert len(encode_spec(spec)) > ROW_BYTES
    assert check_job(spec)


def test_the_largest_legal_job_is_accepted() -> None:
    """Guards against a bound that a job inside the limits meets."""
    steps = tuple(
        StepSpec(100, 500, 256, 0, 900, after=(number - 1,) if number else (), near_rack="r1-3")
        for number in range(MAX_TASKS // 100)
    )
    spec = JobSpec("ab" * 8, "q", "p" * MAX_PAYLOAD_BYTES, steps, POLICY)
    assert not check_job(spec)
    assert not check_job(JobSpec("ab", "q", "", (StepSpec(),) * MAX_TASKS, POLICY))


BEAT: Final[dict[str, Any]] = {
    "service": "s",
    "addr": "127.0.0.1:8080",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32_768},
    "labels": ["a", "r1-3"],
    "seq": 1,
}
LONG_BEATS: Final[dict[str, dict[str, Any]]] = {
    "labels": {"labels": ["x"] * 100_000},
    "long_label": {"labels": ["x" * 100_000]},
    "long_labels": {"labels": ["x" * 100] * 1_000},
    "zone": {"zone": "z" * 100_000},
    "service": {"service": "s" * 100_000},
    "address": {"addr": "a" * 100_000 + ":1"},
}


def kept_bytes(beat: dict[str, Any]) -> int:
    """Return the size of what an agent keeps of a heartbeat, 0 if it is rejected."""
    found = decode(HEARTBEATS, msgspec.json.encode(BEAT | beat))
    return len(msgspec.msgpack.encode(found.ok_value)) if isinstance(found, Ok) else 0


@pytest.mark.parametrize("name", LONG_BEATS)
def test_a_heartbeat_of_long_texts_is_rejected(name: str) -> None:
    """Guards against a heartbeat of any size, which each report to the entries repeats."""
    assert kept_bytes(LONG_BEATS[name]) < MAX_BEAT_BYTES


def test_a_heartbeat_of_many_labels_is_accepted() -> None:
    """Guards against a bound on labels that a worker meets."""
    assert kept_bytes({"labels": [f"label-{number}" for number in range(16)]})


def with_nested_field(message: bytes) -> bytes:
    """Return an encoded message with an additional field of nested arrays."""
    return bytes([message[0] + 1]) + message[1:] + b"\x91" * 100_000 + b"\x90"


def test_a_deeply_nested_message_is_dropped() -> None:
    """Guards against an exception of the decoder, which ended the process."""
    nested = with_nested_field(encode_node(LeaderQuery("a1")))
    assert decode_node(nested, "a1") is None


def test_a_deeply_nested_message_of_an_agent_is_an_error() -> None:
    """Guards against an exception of the decoder, which ended the reader of a channel."""
    hello = ChannelHello(sender="e1", incarnation="a", config_version=0, channel="data")
    assert isinstance(decode_frame(with_nested_field(encode(hello))), Err)
