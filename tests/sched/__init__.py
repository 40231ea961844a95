"""Tests of fleet scheduling: decisions on a simulated clock, without a network."""
