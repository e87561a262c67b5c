"""Measured slopes: how cost grows with one size at a time."""
