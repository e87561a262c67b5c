"""A clock for tests."""


class Clock:
    """A clock that stands until it is set.

    :param now: what it shows, in seconds.
    """

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Tell the time."""
        return self.now
