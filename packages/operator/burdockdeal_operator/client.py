"""HTTP client of the operator interface."""

import asyncio
from collections import abc
import dataclasses
import typing

import aiohttp

from burdockdeal.configuration import messages
from burdockdeal.core import codec
from burdockdeal.core import errors

_DEFAULT_TIMEOUT_S = 15.0

T = typing.TypeVar("T")


class RefusedError(errors.BurdockdealError):
    """The operator interface refused a request.

    :param status: the HTTP status.
    :param problem: the body of the response.
    """

    def __init__(self, status: int, problem: messages.Problem) -> None:
        self.status = status
        self.problem = problem
        super().__init__(problem.error)


class UnreachableError(errors.BurdockdealError):
    """The daemon sent no usable response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The daemon that requests go to.

    :param address: host:port of its operator interface.
    :param token: the operator's token.
    """

    address: str
    token: str


def _decode_problem(raw: bytes) -> messages.Problem:
    try:
        return codec.decode(raw, messages.Problem)
    except codec.MalformedError:
        return messages.Problem(raw.decode(errors="replace").strip()[:200])


async def request(
    target: Target,
    method: str,
    path: str,
    kind: type[T],
    *,
    body: object = None,
    headers: abc.Mapping[str, str] | None = None,
    timeout_s: float = _DEFAULT_TIMEOUT_S,
) -> T:
    """Send a request to the operator interface.

    :param kind: type of the expected message.
    :param body: encoded as JSON, None for no body.
    :param timeout_s: seconds until the whole response must have arrived.
    :returns: the decoded message.
    :raises RefusedError: if the status is not 200.
    :raises UnreachableError: if no response came or it is malformed.
    """
    request_headers = {
        "Authorization": f"Bearer {target.token}",
        **(headers or {}),
    }
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method,
                f"http://{target.address}{path}",
                headers=request_headers,
                data=None if body is None else codec.encode(body),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response,
        ):
            raw = await response.read()
            status = response.status
    except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
        detail = str(error) or type(error).__name__
        raise UnreachableError(f"{target.address}: {detail}") from error
    if status != 200:
        raise RefusedError(status, _decode_problem(raw))
    try:
        return codec.decode(raw, kind)
    except codec.MalformedError as error:
        raise UnreachableError(f"{target.address}: {error}") from error


async def fetch_generation(target: Target, kind: str, name: str) -> int:
    """Return the generation of a resource, 0 if it does not exist."""
    try:
        document = await request(
            target, "GET", f"/v1/resources/{kind}/{name}", messages.Document
        )
    except RefusedError as error:
        if error.status == 404:
            return 0
        raise
    return document.generation
