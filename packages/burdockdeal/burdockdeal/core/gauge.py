"""A metric whose value is read at each scrape."""

from collections import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A metric whose value is read at each scrape.

    :param read: returns the current value.
    """

    name: str
    help_text: str
    read: abc.Callable[[], float]
