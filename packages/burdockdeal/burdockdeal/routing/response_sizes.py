"""The usual size of the responses to each kind of call."""

from burdockdeal.core import call

_SMOOTHING = 0.1

#: Maximum number of kinds that are remembered; beyond it, all start over.
_MAX_KINDS = 10_000


class ResponseSizes:
    """Holds the smoothed size of the responses by service and rank."""

    def __init__(self) -> None:
        self._sizes: dict[tuple[str, str], float] = {}

    def record(self, work: call.Call, size: int) -> None:
        """Record the size of a response's body, in bytes."""
        if len(self._sizes) > _MAX_KINDS:
            self._sizes.clear()
        key = (work.service, work.rank)
        before = self._sizes.get(key, size)
        self._sizes[key] = before + _SMOOTHING * (size - before)

    def estimate(self, work: call.Call) -> int:
        """Estimate the size of the response to a call, in bytes."""
        return round(self._sizes.get((work.service, work.rank), 0))
