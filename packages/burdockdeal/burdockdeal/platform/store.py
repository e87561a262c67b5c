"""The client of the platform's key-value store.

Several clients share one HTTP session, each with its own rate limit, so that
neither a programming error nor a restart of the whole fleet overloads the
store.
"""

import asyncio
from collections import abc
import dataclasses
import socket
import time
from urllib import parse

import aiohttp
import yarl

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import state
from burdockdeal.platform import store_trace
from burdockdeal.platform import wire
from burdockdeal.settings import model

#: Maximum size of a value: one megabyte.
VALUE_LIMIT_BYTES = 1_000_000

_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_EXPECTED_STATUSES = frozenset({_OK, _NOT_FOUND, _GONE, _CONFLICT})

#: Statuses with which the store reports that it did not execute the call.
_REFUSED_STATUSES = frozenset({429, 503})

#: Maximum number of entries in one listing.
_MAX_LISTED = 1000

_JSON_HEADERS = {"Content-Type": "application/json"}

#: The rate limit of clients that limit their calls by themselves, and the
#: default.
_UNLIMITED = state.RateLimit(1e9, 1e9)


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes


class _Shared:
    """The state shared by all clients of one HTTP session."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self.clock = clock
        self.session: aiohttp.ClientSession | None = None
        self.calls = state.CallCounts()
        self.failure_streak = state.FailureStreak()


class StoreClient:
    """A client of the store that counts and rate-limits its calls.

    Used as a context manager, it opens and closes the HTTP session that it
    shares with the clients derived from it.

    :param address: the address of the store.
    :param rate: the rate limit of this client.
    :param not_before: the time of the given clock before which calls are
        refused, in seconds.
    :param clock: returns monotonic time in seconds.
    :param socket_factory: creates the connections' sockets. A watch waits for
        a long time, so only their keep-alive shows that it is in vain.
    """

    def __init__(
        self,
        address: model.Address,
        *,
        rate: state.RateLimit = _UNLIMITED,
        not_before: float = 0.0,
        clock: abc.Callable[[], float] = time.monotonic,
        socket_factory: abc.Callable[..., socket.socket] | None = None,
    ) -> None:
        self._address = address
        self._base = f"http://{address.host}:{address.port}"
        self._rate = rate
        self._not_before = not_before
        self._bucket = state.TokenBucket(rate.burst, clock())
        self._shared = _Shared(clock)
        self._socket_factory = socket_factory
        self._max_wait_s = 0.0

    async def __aenter__(self) -> "StoreClient":
        self._shared.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                socket_factory=self._socket_factory
            ),
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[store_trace.build_reuse_trace()],
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._shared.session is not None
        await self._shared.session.close()

    def derive_client(
        self,
        rate: state.RateLimit,
        *,
        skip_start_delay: bool = False,
        max_wait_s: float = 0.0,
    ) -> "StoreClient":
        """Make a client with its own rate limit on the same session.

        :param rate: the rate limit of the new client.
        :param skip_start_delay: whether the new client may send calls
            before the time at which this one may.
        :param max_wait_s: the maximum time for which a call waits for its
            token before it is refused, in seconds.
        """
        derived = StoreClient(
            self._address,
            rate=rate,
            not_before=0.0 if skip_start_delay else self._not_before,
            clock=self._shared.clock,
        )
        derived._shared = self._shared
        derived._max_wait_s = max_wait_s
        return derived

    def derive_unlimited_client(self) -> "StoreClient":
        """Make a client whose user limits the rate of its calls by itself."""
        return self.derive_client(_UNLIMITED, skip_start_delay=True)

    @property
    def not_before(self) -> float:
        """The time before which this client refuses calls, in seconds."""
        return self._not_before

    @property
    def total_calls(self) -> int:
        """The number of calls sent by all clients of the session."""
        return self._shared.calls.total

    @property
    def call_counts(self) -> state.CallCounts:
        """The number of calls of all clients of the session, by kind."""
        return self._shared.calls

    @property
    def failure_streak(self) -> state.FailureStreak:
        """The current run of consecutive failed calls of all clients."""
        return self._shared.failure_streak

    async def _acquire_token(self, kind: str) -> None:
        now = self._shared.clock()
        wait_s: float | None = None
        if now >= self._not_before:
            self._bucket, wait_s = decisions.reserve(
                self._bucket, self._rate, now, max_wait_s=self._max_wait_s
            )
        if wait_s is None:
            self._shared.calls = decisions.increment(
                self._shared.calls, "refused_by_budget"
            )
            raise errors.StoreBudgetExhaustedError(
                "the budget of store calls is used up"
            )
        if wait_s:
            await asyncio.sleep(wait_s)
        self._shared.calls = decisions.increment(self._shared.calls, kind)

    def _record_outcome(self, answered: bool) -> None:
        shared = self._shared
        if not answered:
            shared.calls = decisions.increment(shared.calls, "failed")
        shared.failure_streak = decisions.record_answer(
            shared.failure_streak, answered, shared.clock()
        )

    async def _send(
        self,
        method: str,
        path: str,
        *,
        kind: str = "reads",
        body: bytes | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> _Response:
        assert self._shared.session is not None
        await self._acquire_token(kind)
        attempt = store_trace.Attempt()
        try:
            async with self._shared.session.request(
                method,
                yarl.URL(self._base + path, encoded=True),
                data=body,
                headers=_JSON_HEADERS if body else None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                trace_request_ctx=attempt,
            ) as response:
                answer = _Response(response.status, await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._record_outcome(False)
            connect_failed = isinstance(error, aiohttp.ClientConnectorError)
            if connect_failed and not attempt.reused:
                raise errors.StoreUnavailableError(str(error)) from error
            detail = f"{method} {path}: {error!r}"
            raise errors.StoreUncertainError(detail) from error
        self._record_outcome(answer.status in _EXPECTED_STATUSES)
        if answer.status in _REFUSED_STATUSES:
            detail = f"{method} {path}: {answer.status}"
            raise errors.StoreUnavailableError(detail)
        if answer.status not in _EXPECTED_STATUSES:
            detail = f"{method} {path}: {answer.status}"
            raise errors.StoreUncertainError(detail)
        return answer

    async def get(
        self, key: str, *, timeout_s: float | None = None
    ) -> messages.Entry | None:
        """Read a key.

        :param timeout_s: seconds to wait for the answer, None for the
            default.
        :returns: the entry, or None if the key does not exist.
        :raises PlatformError: if the store did not answer.
        """
        query = parse.urlencode({"key": key})
        answer = await self._send(
            "GET", f"/api/kv-key?{query}", timeout_s=timeout_s or _TIMEOUT_S
        )
        if answer.status == _NOT_FOUND:
            return None
        return wire.decode_item(wire.decode_message(answer.body, wire.Item))

    async def put(
        self, key: str, value: str, *, version: int, lease: int = 0
    ) -> int:
        """Write a key by compare-and-swap.

        :param version: the version that the key must have; 0 if it must
            not exist.
        :param lease: the id of the lease with which the key expires, 0 for
            none.
        :returns: the new version.
        :raises StoreConflictError: if the key has another version.
        :raises StoreLeaseError: if the lease has ended.
        :raises StoreUncertainError: if the write may have taken effect.
        """
        committed = await self._commit(
            wire.Transaction(
                expected=(wire.Precondition(key, version),),
                puts=(wire.encode_put(key, value, lease),),
            )
        )
        return committed.revision

    async def delete(self, key: str, *, version: int) -> None:
        """Delete a key by compare-and-swap.

        :param version: the version that the key must have.
        :raises StoreConflictError: if the key has another version.
        """
        await self._commit(
            wire.Transaction(
                expected=(wire.Precondition(key, version),), remove=(key,)
            )
        )

    async def _commit(self, transaction: wire.Transaction) -> wire.Committed:
        answer = await self._send(
            "POST",
            "/api/kv-txn",
            kind="writes",
            body=codec.encode(transaction),
        )
        if answer.status == _CONFLICT:
            conflict = wire.decode_message(answer.body, wire.Conflict)
            key = transaction.expected[0].key
            raise errors.StoreConflictError(key, conflict.find_version(key))
        if answer.status == _NOT_FOUND:
            raise errors.StoreLeaseError("the lease has ended")
        return wire.decode_message(answer.body, wire.Committed)

    async def list(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = _MAX_LISTED,
        stale: bool = False,
        timeout_s: float | None = None,
    ) -> messages.Listing:
        """List the entries whose keys start with a prefix, in key order.

        The pages are read one after another, so that the listing is not a
        snapshot of a single revision. Its revision is that of the first
        page: a watch after it reports whatever later pages lack.

        :param after: list only keys that sort after this one.
        :param limit: the maximum number of entries.
        :param stale: whether the entries may be some seconds out of date;
            such a read costs the store a tenth of a current one.
        :param timeout_s: seconds to wait for each page, None for the
            default.
        """
        found: list[messages.Entry] = []
        revision: int | None = None
        while True:
            page = await self._read_page(prefix, after, stale, timeout_s)
            found += page.decode_items()
            revision = page.store_revision if revision is None else revision
            if not page.more_pages or len(found) >= limit:
                return messages.Listing(tuple(found[:limit]), revision)
            after = page.items[-1].key

    async def _read_page(
        self, prefix: str, after: str, stale: bool, timeout_s: float | None
    ) -> wire.Page:
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        answer = await self._send(
            "GET",
            f"/api/kv-range?{parse.urlencode(query)}",
            timeout_s=timeout_s or _TIMEOUT_S,
        )
        return wire.decode_message(answer.body, wire.Page)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> messages.Listing:
        """Wait for entries below a prefix that are newer than a revision.

        If the store has already discarded the history after that revision,
        the current entries are listed instead.

        :param after: the latest store revision that is known.
        :param wait_s: the maximum wait, in seconds.
        :returns: the newer entries, none if the wait timed out.
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
        events = wire.decode_message(answer.body, wire.Events)
        return messages.Listing(events.decode_items(), events.store_revision)

    async def grant(self, ttl_s: float) -> messages.Lease:
        """Request a lease.

        :param ttl_s: the requested time to live, in seconds.
        :returns: the lease with the time to live that the store granted.
        """
        answer = await self._send(
            "POST",
            "/api/kv-lease",
            kind="leases",
            body=codec.encode(wire.LeaseRequest(round(ttl_s * 1000))),
        )
        granted = wire.decode_message(answer.body, wire.LeaseGrant)
        return messages.Lease(granted.lease, granted.ttl_ms / 1000)

    async def renew(self, lease: int) -> bool:
        """Renew a lease.

        :param lease: the id of the lease.
        :returns: False if the lease had already lapsed.
        """
        answer = await self._send(
            "POST", f"/api/kv-keep/{lease}", kind="leases"
        )
        return answer.status == _OK
