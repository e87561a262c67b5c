"""Events that drive a daemon's shutdown."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A signal requested the shutdown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event on which timeouts and completion are checked.

    :param busy: number of requests, idempotency-key runs and responses that
        are not yet complete.
    """

    busy: int


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another process runs under this daemon's name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An error that no code handles ended a part of this daemon.

    :param reason: the part and the error.
    :param where: the innermost lines of the code that raised it.
    """

    reason: str
    where: str
