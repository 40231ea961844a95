"""Tests of track records: unsound workers are paused, and restored after a successful trial."""

from sapphirelead.sched_track import MAX_COOLDOWN_S, MIN_COOLDOWN_S, TrackRecord


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
