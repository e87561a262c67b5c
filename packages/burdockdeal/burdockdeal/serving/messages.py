"""What passes along the path of one request."""

from collections import abc
import contextlib
import dataclasses

import aiohttp
import multidict

from burdockdeal.core import call
from burdockdeal.core import verdict
from burdockdeal.routing import state as routing
from burdockdeal.serving import bodies
from burdockdeal.settings import model


@dataclasses.dataclass(frozen=True, slots=True)
class Outbound:
    """A request as it is sent on.

    :param target: path and query, as the caller wrote them.
    :param headers: end-to-end headers only.
    """

    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bodies.Body


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer whose head has arrived.

    :param response: the head, and the body as it comes.
    """

    response: aiohttp.ClientResponse


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerReport:
    """What an owner adds to each answer for the entry.

    :param reason: why, if the verdict is not RAN.
    """

    verdict: verdict.Verdict
    load: routing.Report
    reason: verdict.Reason | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One send of a call to one instance.

    :param daemon: the daemon beside the upstream.
    :param peer: where that daemon is reached.
    :param incarnation: the upstream's, as the sender knows it.
    :param attempt: 1 for the first send.
    """

    request: call.Call
    outbound: Outbound
    daemon: str
    peer: model.Address
    incarnation: int
    attempt: int


#: Open an answer to a send; raises CallError if there is none.
OpenAnswer = abc.Callable[
    [Send], contextlib.AbstractAsyncContextManager[Answer]
]
