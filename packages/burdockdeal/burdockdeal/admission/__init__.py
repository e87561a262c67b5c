"""Admission control: whether a call runs now, waits or is refused."""
