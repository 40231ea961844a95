"""Crowds of hostile clients against real processes; these tests run one at a time."""
