"""What passes along the path of one request."""

from collections import abc
import contextlib
import dataclasses
import typing

import multidict

from burdockdeal.bookings import messages as bookings
from burdockdeal.core import call
from burdockdeal.core import verdict
from burdockdeal.routing import state as routing
from burdockdeal.serving import bodies
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request as it is sent on.

    :param target: path and query, as the caller wrote them.
    :param headers: end-to-end headers only.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bodies.Body


class BodyReader(typing.Protocol):
    """The body of an answer, such as aiohttp's StreamReader."""

    async def readany(self) -> bytes:
        """Read what has come, or wait; empty at the end."""

    def at_eof(self) -> bool:
        """Tell whether all was read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer whose head has arrived.

    :param content: the body, as it comes.
    """

    status: int
    reason: str | None
    headers: multidict.MultiMapping[str]
    content: BodyReader


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerReport:
    """What an owner adds to each answer for the entry.

    :param reason: why, if the verdict is not RAN.
    :param incarnation: of the owner's daemon.
    :param clock: the owner's monotonic time in seconds.
    :param settled: whether no earlier send with the same key ran either.
    :param holder: the daemon that holds the call's key, if another does.
    """

    verdict: verdict.Verdict
    load: routing.Report
    reason: verdict.Reason | None = None
    detail: str = ""
    incarnation: int = 0
    clock: float = 0.0
    settled: bool = False
    holder: bookings.Holder | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One send of a call to one instance.

    :param daemon: the daemon beside the upstream.
    :param peer: where that daemon is reached.
    :param incarnation: the upstream's, as the sender knows it.
    :param attempt: 1 for the first send.
    :param daemon_incarnation: the daemon's, as the sender knows it.
    :param sent_at: the daemon's clock when it is sent, at the least.
    :param patient: whether it waits if it can't start at once.
    """

    request: call.Call
    outbound: OutboundRequest
    daemon: str
    peer: model.Address
    incarnation: int
    attempt: int
    daemon_incarnation: int = 0
    sent_at: float | None = None
    patient: bool = False


#: Open an answer to a send; raises CallError if there is none.
OpenResponse = abc.Callable[
    [Send], contextlib.AbstractAsyncContextManager[Response]
]
