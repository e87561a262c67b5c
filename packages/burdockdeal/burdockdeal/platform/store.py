"""The client of the platform's store.

The store speaks HTTP: keys below /v1/kv, listings and watches at
/v1/list and /v1/watch, leases at /v1/leases. Calls go out in lanes, each
with a budget of its own, so that neither a mistake nor a restart of the
whole fleet sends more than the store takes.
"""

import asyncio
from collections import abc
import dataclasses
import time
import typing
from urllib import parse

import aiohttp
import yarl

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import state
from burdockdeal.settings import model

#: A value may hold a megabyte.
VALUE_LIMIT_BYTES = 1_000_000

_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0

_UNAVAILABLE = 503
_EXPECTED = frozenset({200, 404, 409})

T = typing.TypeVar("T")

#: What no lane may exceed unless it says so.
_UNBOUNDED = state.Rate(1e9, 1e9)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


def _read(raw: bytes, kind: type[T]) -> T:
    try:
        return codec.decode(raw, kind)
    except codec.MalformedError as error:
        raise errors.StoreUncertainError(str(error)) from error


class _Wire:
    """What the lanes share: the session, the counts, the outage."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self.clock = clock
        self.session: aiohttp.ClientSession | None = None
        self.calls = state.Calls()
        self.outage = state.Outage()


class _Attempt:
    """One HTTP request, as the session's trace sees it."""

    def __init__(self) -> None:
        self.reused = False


def _trace_reuse() -> aiohttp.TraceConfig:
    """Make a trace that marks requests sent on a standing connection.

    The session sends such a request again by itself if the connection
    breaks, so that a refused connection proves nothing about the first.
    """

    async def mark(
        session: aiohttp.ClientSession, context: object, params: object
    ) -> None:
        context.trace_request_ctx.reused = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(mark)
    return trace


class Store:
    """A connection to the store, which counts and bounds its calls.

    :param address: where the store listens.
    :param rate: the budget of this lane.
    :param opens_at: no call leaves before, on the given clock.
    """

    def __init__(
        self,
        address: model.Address,
        *,
        rate: state.Rate = _UNBOUNDED,
        opens_at: float = 0.0,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._address = address
        self._base = f"http://{address.host}:{address.port}"
        self._rate = rate
        self._opens_at = opens_at
        self._bucket = state.Bucket(rate.burst, clock())
        self._wire = _Wire(clock)
        self._patience_s = 0.0

    async def __aenter__(self) -> "Store":
        self._wire.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[_trace_reuse()],
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._wire.session is not None
        await self._wire.session.close()

    def make_lane(
        self,
        rate: state.Rate,
        *,
        at_once: bool = False,
        patience_s: float = 0.0,
    ) -> "Store":
        """Make a lane with a budget of its own on the same connection.

        :param at_once: whether calls may leave before this lane's may.
        :param patience_s: how long a call waits for the budget before it
            is refused.
        """
        lane = Store(
            self._address,
            rate=rate,
            opens_at=0.0 if at_once else self._opens_at,
            clock=self._wire.clock,
        )
        lane._wire = self._wire
        lane._patience_s = patience_s
        return lane

    @property
    def opens_at(self) -> float:
        """When the first call of this lane may leave."""
        return self._opens_at

    @property
    def calls(self) -> int:
        """Calls that all lanes have sent."""
        return self._wire.calls.total

    @property
    def counted(self) -> state.Calls:
        """Calls that all lanes have sent, by kind."""
        return self._wire.calls

    @property
    def outage(self) -> state.Outage:
        """How the store has fared lately."""
        return self._wire.outage

    async def _admit(self, kind: str) -> None:
        now = self._wire.clock()
        wait_s: float | None = None
        if now >= self._opens_at:
            self._bucket, wait_s = decisions.reserve(
                self._bucket, self._rate, now, patience_s=self._patience_s
            )
        if wait_s is None:
            self._wire.calls = decisions.count(
                self._wire.calls, "refused_by_budget"
            )
            raise errors.StoreBudgetError(
                "the budget of store calls is used up"
            )
        if wait_s:
            await asyncio.sleep(wait_s)
        self._wire.calls = decisions.count(self._wire.calls, kind)

    def _note(self, answered: bool) -> None:
        wire = self._wire
        if not answered:
            wire.calls = decisions.count(wire.calls, "failed")
        wire.outage = decisions.note_answer(
            wire.outage, answered, wire.clock()
        )

    async def _send(
        self,
        method: str,
        path: str,
        *,
        kind: str = "reads",
        body: str | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> _Answer:
        assert self._wire.session is not None
        await self._admit(kind)
        attempt = _Attempt()
        try:
            async with self._wire.session.request(
                method,
                yarl.URL(self._base + path, encoded=True),
                data=None if body is None else body.encode(),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                trace_request_ctx=attempt,
            ) as response:
                answer = _Answer(response.status, await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._note(False)
            never_sent = isinstance(error, aiohttp.ClientConnectorError)
            if never_sent and not attempt.reused:
                raise errors.StoreUnavailableError(str(error)) from error
            detail = f"{method} {path}: {error!r}"
            raise errors.StoreUncertainError(detail) from error
        self._note(answer.status in _EXPECTED)
        if answer.status == _UNAVAILABLE:
            raise errors.StoreUnavailableError(f"{method} {path}: 503")
        if answer.status not in _EXPECTED:
            detail = f"{method} {path}: {answer.status}"
            raise errors.StoreUncertainError(detail)
        return answer

    async def get(self, key: str) -> messages.Entry | None:
        """Read a key.

        :returns: the entry, None if there is none.
        :raises PlatformError: if the store did not answer.
        """
        answer = await self._send("GET", f"/v1/kv/{parse.quote(key)}")
        if answer.status == 404:
            return None
        return _read(answer.body, messages.Entry)

    async def put(
        self, key: str, value: str, *, version: int, lease: str = ""
    ) -> int:
        """Write a key by compare-and-swap.

        :param version: the version that must stand there, 0 for none.
        :param lease: the lease with which the key goes.
        :returns: the new version.
        :raises StoreConflictError: if another version stands there.
        :raises StoreUncertainError: if it may have taken effect.
        """
        query = parse.urlencode({"version": version, "lease": lease})
        answer = await self._send(
            "PUT",
            f"/v1/kv/{parse.quote(key)}?{query}",
            kind="writes",
            body=value,
        )
        written = _read(answer.body, messages.Written)
        if answer.status == 409:
            raise errors.StoreConflictError(key, written.version)
        return written.version

    async def delete(self, key: str, *, version: int) -> None:
        """Delete a key by compare-and-swap.

        :raises StoreConflictError: if another version stands there.
        """
        answer = await self._send(
            "DELETE",
            f"/v1/kv/{parse.quote(key)}?version={version}",
            kind="writes",
        )
        if answer.status == 409:
            written = _read(answer.body, messages.Written)
            raise errors.StoreConflictError(key, written.version)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 1000
    ) -> messages.Listing:
        """Read the entries below a prefix, in the order of their keys.

        :param start: the first key to return.
        """
        query = parse.urlencode(
            {"prefix": prefix, "start": start, "limit": limit}
        )
        answer = await self._send("GET", f"/v1/list?{query}")
        return _read(answer.body, messages.Listing)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> messages.Listing:
        """Wait for entries below a prefix that are newer than a revision.

        :param after: the store's revision that is known.
        :param wait_s: how long to wait, in seconds.
        :returns: the newer entries, none if the wait ended first.
        """
        query = parse.urlencode(
            {"prefix": prefix, "after": after, "wait_s": wait_s}
        )
        answer = await self._send(
            "GET",
            f"/v1/watch?{query}",
            kind="watches",
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        return _read(answer.body, messages.Listing)

    async def grant(self, ttl_s: float) -> messages.Lease:
        """Ask for a lease."""
        answer = await self._send(
            "POST", f"/v1/leases?ttl_s={ttl_s}", kind="leases"
        )
        return _read(answer.body, messages.Lease)

    async def renew(self, lease: str) -> bool:
        """Renew a lease.

        :returns: False if it had lapsed.
        """
        answer = await self._send("POST", f"/v1/leases/{lease}", kind="leases")
        return answer.status == 200
