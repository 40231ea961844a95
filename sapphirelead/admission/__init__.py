"""Admission control: refuses jobs that cannot be served in time, and spreads their return."""
