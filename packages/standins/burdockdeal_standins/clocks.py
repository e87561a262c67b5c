"""A manually set clock for tests."""


class Clock:
    """A clock that advances only when a test sets it.

    :param now: the current time in seconds.
    """

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now
