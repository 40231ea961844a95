"""Stops running tasks to make room for tasks of a higher right; see docs/design/preemption.md."""
