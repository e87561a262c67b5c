"""Whether a call runs now, waits or is refused."""
