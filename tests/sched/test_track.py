"""Tests of track records: unsound workers are paused, and restored after a successful trial."""

from sapphirelead.sched_track import (
    FAULT_MEMORY_S,
    MAX_COOLDOWN_S,
    MIN_COOLDOWN_S,
    TrackRecord,
)


def test_worker_is_paused_after_consecutive_failures() -> None:
    track = TrackRecord()
    track.record_failure(1.0)
    assert track.sound(1.0)
    track.record_success(1.0)
    track.record_failure(2.0)
    assert track.sound(2.0)
    track.record_failure(2.1)
    assert not track.sound(2.2)


def test_successful_trial_restores_worker() -> None:
    track = TrackRecord()
    track.record_failure(1.0)
    track.record_failure(1.0)
    assert track.on_trial
    assert track.sound(1.0 + MIN_COOLDOWN_S)
    track.record_success(0.9)
    assert not track.on_trial


def test_failed_trials_double_the_pause_up_to_a_limit() -> None:
    track = TrackRecord()
    at, pauses = 0.0, []
    track.record_failure(at)
    for _ in range(6):
        track.record_failure(at)
        pauses.append(track.cooldown_until - at)
        at = track.cooldown_until
    assert pauses[:3] == [MIN_COOLDOWN_S, 2 * MIN_COOLDOWN_S, 4 * MIN_COOLDOWN_S]
    assert pauses[-1] == MAX_COOLDOWN_S


def test_slow_worker_is_paused_after_a_few_runs() -> None:
    track = TrackRecord()
    recorded = 0
    while track.sound(1.0):
        recorded += 1
        track.record_slow(1.0, 0.1)
    assert recorded <= 3


def test_faults_of_long_ago_are_forgotten() -> None:
    """Guards against a worker that is paused for two failures hours apart."""
    track = TrackRecord()
    track.record_failure(1.0)
    track.record_failure(2.0 + FAULT_MEMORY_S)
    assert track.sound(2.0 + FAULT_MEMORY_S)
    track.record_failure(2.1 + FAULT_MEMORY_S)
    assert not track.sound(2.2 + FAULT_MEMORY_S)


def test_a_worker_without_faults_for_long_is_on_trial_no_more() -> None:
    """Guards against a single failure that pauses a worker for longer because of an old trial."""
    track = TrackRecord()
    for _ in range(2):
        track.record_failure(1.0)
    at = track.cooldown_until + 1.1 * FAULT_MEMORY_S
    track.record_failure(at)
    assert track.sound(at)


def test_a_sound_run_ends_the_trial_but_the_next_pause_is_longer() -> None:
    track = TrackRecord()
    for _ in range(2):
        track.record_failure(1.0)
    track.record_sound_run()
    assert not track.on_trial
    at = track.cooldown_until
    track.record_failure(at)
    assert track.sound(at)
    track.record_failure(at)
    assert track.cooldown_until - at == 2 * MIN_COOLDOWN_S
