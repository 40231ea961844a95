"""Tests of the fleet on the users' platform: decisions on a paused clock, no network."""
