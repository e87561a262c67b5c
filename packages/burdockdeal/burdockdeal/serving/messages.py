"""Data classes that the stages of the request path exchange."""

from collections import abc
import contextlib
import dataclasses
import typing

import multidict

from burdockdeal.bookings import messages as bookings
from burdockdeal.core import call
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.serving import bodies
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request as it is forwarded.

    :param target: path and query, encoded as the caller sent them.
    :param headers: the end-to-end headers.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bodies.Body


class BodyReader(typing.Protocol):
    """Reader of a response's body, such as aiohttp's StreamReader."""

    async def readany(self) -> bytes:
        """Read the bytes received so far, or wait; empty at the end."""

    def at_eof(self) -> bool:
        """Return whether the body was read to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response whose head has arrived.

    :param reason: the HTTP reason phrase.
    :param content: reads the body while it arrives.
    """

    status: int
    reason: str | None
    headers: multidict.MultiMapping[str]
    content: BodyReader


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerReport:
    """What an owner daemon reports to the entry daemon with each response.

    The class's name is part of the text of decoding errors.

    :param verdict: whether the upstream ran the request.
    :param load: the load of the owner daemon and its upstream.
    :param reason: why the request failed, None if the upstream answered it.
    :param detail: one line for the caller.
    :param incarnation: incarnation of the owner daemon.
    :param clock: the owner daemon's monotonic time in seconds.
    :param settled: whether no earlier send with the same idempotency key
        ran either.
    :param holder: the daemon that holds the call's idempotency key, None
        unless it is another daemon.
    """

    verdict: verdict.Verdict
    load: load_report.LoadReport
    reason: verdict.Reason | None = None
    detail: str = ""
    incarnation: int = 0
    clock: float = 0.0
    settled: bool = False
    holder: bookings.Holder | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One send of a call to one instance.

    :param daemon: name of the owner daemon, the one beside the upstream.
    :param peer: address of that daemon for other daemons.
    :param incarnation: the upstream's incarnation, as the sender knows it.
    :param attempt: number of this send, from 1.
    :param daemon_incarnation: the owner daemon's incarnation, as the sender
        knows it.
    :param sent_at: lower bound of the owner daemon's clock, in seconds, at
        the time of sending; None if the sender has no reading of it.
    :param may_queue: whether the call queues if it can't start at once.
    """

    request: call.Call
    outbound: OutboundRequest
    daemon: str
    peer: model.Address
    incarnation: int
    attempt: int
    daemon_incarnation: int = 0
    sent_at: float | None = None
    may_queue: bool = False


#: Sends a call and opens its response; raises CallError if there is none.
OpenResponse = abc.Callable[
    [Send], contextlib.AbstractAsyncContextManager[Response]
]
