"""The client of the platform's store.

Calls go out in lanes, each with a budget of its own, so that neither a
mistake nor a restart of the whole fleet sends more than the store takes.
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
from burdockdeal.platform import wire
from burdockdeal.settings import model

#: A value may hold a megabyte.
VALUE_LIMIT_BYTES = 1_000_000

_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_EXPECTED = frozenset({_OK, _NOT_FOUND, _GONE, _CONFLICT})

#: Statuses that say that nothing was done.
_REFUSED = frozenset({429, 503})

#: Entries of one listing at most.
_MOST_LISTED = 1000

_JSON = {"Content-Type": "application/json"}

T = typing.TypeVar("T")

#: What no lane may exceed unless it says so.
_UNBOUNDED = state.RateLimit(1e9, 1e9)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


def _read(raw: bytes, kind: type[T]) -> T:
    """Read an answer.

    :raises StoreUncertainError: if it is not what was asked for.
    """
    try:
        return codec.decode(raw, kind)
    except codec.MalformedError as error:
        raise errors.StoreUncertainError(str(error)) from error


class _Wire:
    """What the lanes share: the session, the counts, the outage."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self.clock = clock
        self.session: aiohttp.ClientSession | None = None
        self.calls = state.CallCounts()
        self.outage = state.FailureStreak()


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


class StoreClient:
    """A connection to the store, which counts and bounds its calls.

    :param address: where the store listens.
    :param rate: the budget of this lane.
    :param opens_at: no call leaves before, on the given clock.
    """

    def __init__(
        self,
        address: model.Address,
        *,
        rate: state.RateLimit = _UNBOUNDED,
        not_before: float = 0.0,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._address = address
        self._base = f"http://{address.host}:{address.port}"
        self._rate = rate
        self._not_before = not_before
        self._bucket = state.TokenBucket(rate.burst, clock())
        self._wire = _Wire(clock)
        self._max_wait_s = 0.0

    async def __aenter__(self) -> "StoreClient":
        self._wire.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[_trace_reuse()],
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._wire.session is not None
        await self._wire.session.close()

    def derive_client(
        self,
        rate: state.RateLimit,
        *,
        skip_start_delay: bool = False,
        max_wait_s: float = 0.0,
    ) -> "StoreClient":
        """Make a lane with a budget of its own on the same connection.

        :param at_once: whether calls may leave before this lane's may.
        :param patience_s: how long a call waits for the budget before it
            is refused.
        """
        lane = StoreClient(
            self._address,
            rate=rate,
            not_before=0.0 if skip_start_delay else self._not_before,
            clock=self._wire.clock,
        )
        lane._wire = self._wire
        lane._max_wait_s = max_wait_s
        return lane

    def derive_unlimited_client(self) -> "StoreClient":
        """Make a lane whose caller paces its calls by itself."""
        return self.derive_client(_UNBOUNDED, skip_start_delay=True)

    @property
    def not_before(self) -> float:
        """When the first call of this lane may leave."""
        return self._not_before

    @property
    def total_calls(self) -> int:
        """Calls that all lanes have sent."""
        return self._wire.calls.total

    @property
    def call_counts(self) -> state.CallCounts:
        """Calls that all lanes have sent, by kind."""
        return self._wire.calls

    @property
    def failure_streak(self) -> state.FailureStreak:
        """How the store has fared lately."""
        return self._wire.outage

    async def _admit(self, kind: str) -> None:
        now = self._wire.clock()
        wait_s: float | None = None
        if now >= self._not_before:
            self._bucket, wait_s = decisions.reserve(
                self._bucket, self._rate, now, max_wait_s=self._max_wait_s
            )
        if wait_s is None:
            self._wire.calls = decisions.increment(
                self._wire.calls, "refused_by_budget"
            )
            raise errors.StoreBudgetExhaustedError(
                "the budget of store calls is used up"
            )
        if wait_s:
            await asyncio.sleep(wait_s)
        self._wire.calls = decisions.increment(self._wire.calls, kind)

    def _note(self, answered: bool) -> None:
        wire = self._wire
        if not answered:
            wire.calls = decisions.increment(wire.calls, "failed")
        wire.outage = decisions.record_answer(
            wire.outage, answered, wire.clock()
        )

    async def _send(
        self,
        method: str,
        path: str,
        *,
        kind: str = "reads",
        body: bytes | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> _Answer:
        assert self._wire.session is not None
        await self._admit(kind)
        attempt = _Attempt()
        try:
            async with self._wire.session.request(
                method,
                yarl.URL(self._base + path, encoded=True),
                data=body,
                headers=_JSON if body else None,
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
        if answer.status in _REFUSED:
            detail = f"{method} {path}: {answer.status}"
            raise errors.StoreUnavailableError(detail)
        if answer.status not in _EXPECTED:
            detail = f"{method} {path}: {answer.status}"
            raise errors.StoreUncertainError(detail)
        return answer

    async def get(self, key: str) -> messages.Entry | None:
        """Read a key.

        :returns: the entry, None if there is none.
        :raises PlatformError: if the store did not answer.
        """
        query = parse.urlencode({"key": key})
        answer = await self._send("GET", f"/api/kv-key?{query}")
        if answer.status == _NOT_FOUND:
            return None
        return wire.decode_item(_read(answer.body, wire.Item))

    async def put(
        self, key: str, value: str, *, version: int, lease: int = 0
    ) -> int:
        """Write a key by compare-and-swap.

        :param version: the version that must stand there, 0 for none.
        :param lease: the lease with which the key goes, 0 for none.
        :returns: the new version.
        :raises StoreConflictError: if another version stands there.
        :raises StoreLeaseError: if the lease has ended.
        :raises StoreUncertainError: if it may have taken effect.
        """
        done = await self._commit(
            wire.Transaction(
                expected=(wire.Precondition(key, version),),
                puts=(wire.encode_put(key, value, lease),),
            )
        )
        return done.revision

    async def delete(self, key: str, *, version: int) -> None:
        """Delete a key by compare-and-swap.

        :raises StoreConflictError: if another version stands there.
        """
        await self._commit(
            wire.Transaction(
                expected=(wire.Precondition(key, version),), remove=(key,)
            )
        )

    async def _commit(self, change: wire.Transaction) -> wire.Committed:
        answer = await self._send(
            "POST", "/api/kv-txn", kind="writes", body=codec.encode(change)
        )
        if answer.status == _CONFLICT:
            stands = _read(answer.body, wire.Conflict)
            key = change.expected[0].key
            raise errors.StoreConflictError(key, stands.find_version(key))
        if answer.status == _NOT_FOUND:
            raise errors.StoreLeaseError("the lease has ended")
        return _read(answer.body, wire.Committed)

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = _MOST_LISTED,
        stale: bool = False,
    ) -> messages.Listing:
        """Read the entries below a prefix, in the order of their keys.

        Pages are read one after another and are no snapshot.

        :param after: the key that the first one follows.
        :param stale: whether the answer may be seconds old, at a tenth of
            the price.
        """
        found: list[messages.Entry] = []
        while True:
            page = await self._read_page(prefix, after, stale)
            found += page.decode_items()
            if not page.more_pages or len(found) >= limit:
                return messages.Listing(
                    tuple(found[:limit]), page.store_revision
                )
            after = page.items[-1].key

    async def _read_page(
        self, prefix: str, after: str, stale: bool
    ) -> wire.Page:
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        answer = await self._send(
            "GET", f"/api/kv-range?{parse.urlencode(query)}"
        )
        return _read(answer.body, wire.Page)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> messages.Listing:
        """Wait for entries below a prefix that are newer than a revision.

        Where the store no longer has that history, what stands is read.

        :param after: the store's revision that is known.
        :param wait_s: how long to wait, in seconds.
        :returns: the newer entries, none if the wait ended first.
        """
        query = parse.urlencode(
            {
                "pathPrefix": prefix,
                "after": after,
                "waitMs": round(wait_s * 1000),
            }
        )
        answer = await self._send(
            "GET",
            f"/api/kv-watch?{query}",
            kind="watches",
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        if answer.status == _GONE:
            return await self.list(prefix)
        events = _read(answer.body, wire.Events)
        return messages.Listing(events.decode_items(), events.store_revision)

    async def grant(self, ttl_s: float) -> messages.Lease:
        """Ask for a lease."""
        answer = await self._send(
            "POST",
            "/api/kv-lease",
            kind="leases",
            body=codec.encode(wire.LeaseRequest(round(ttl_s * 1000))),
        )
        granted = _read(answer.body, wire.LeaseGrant)
        return messages.Lease(granted.lease, granted.ttl_ms / 1000)

    async def renew(self, lease: int) -> bool:
        """Renew a lease.

        :returns: False if it had lapsed.
        """
        answer = await self._send(
            "POST", f"/api/kv-keep/{lease}", kind="leases"
        )
        return answer.status == _OK
