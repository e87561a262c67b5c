"""What a stop is told."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A signal asked for the stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed.

    :param busy: requests, runs and answers that are not yet done.
    """

    busy: int


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another process runs under this daemon's name."""
