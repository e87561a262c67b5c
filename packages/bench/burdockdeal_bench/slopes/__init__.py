"""Scaling benchmarks: how a cost grows as one size is varied."""
