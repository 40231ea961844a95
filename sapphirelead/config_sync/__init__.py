"""Propagation of the operators' configuration between entries, besides the store."""
