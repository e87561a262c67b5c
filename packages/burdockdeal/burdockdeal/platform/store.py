"""The client of the platform's key-value store.

Several clients share one HTTP session, each with its own rate limit, so that
neither a programming error nor a restart of the whole fleet overloads the
store.
"""

import asyncio
from collections import abc
import socket
import time
from urllib import parse

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import state
from burdockdeal.platform import store_era
from burdockdeal.platform import store_session
from burdockdeal.platform import wire
from burdockdeal.settings import model

#: Maximum size of a value: one megabyte.
VALUE_LIMIT_BYTES = 1_000_000

_WATCH_MARGIN_S = 2.0

#: Default of the maximum number of entries in one listing.
_MAX_LISTED = 1000

#: Maximum length of all pages of a listing, in bytes.
MAX_LISTING_BYTES = 2 * store_session.MAX_RESPONSE_BYTES

#: The rate limit of clients that limit their calls by themselves, and the
#: default.
_UNLIMITED = state.RateLimit(1e9, 1e9)


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
        self._rate = rate
        self._not_before = not_before
        self._bucket = state.TokenBucket(rate.burst, clock())
        self._session = store_session.StoreSession(
            address, clock, socket_factory
        )
        self._max_wait_s = 0.0

    async def __aenter__(self) -> "StoreClient":
        await self._session.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._session.__aexit__(*exc_info)

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
            clock=self._session.clock,
        )
        derived._session = self._session
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
        return self._session.calls.total

    @property
    def call_counts(self) -> state.CallCounts:
        """The number of calls of all clients of the session, by kind."""
        return self._session.calls

    @property
    def failure_streak(self) -> state.FailureStreak:
        """The current run of consecutive failed calls of all clients."""
        return self._session.failure_streak

    @property
    def era(self) -> int:
        """The newest era of the store that a response has shown."""
        return self._session.era.known or 0

    @property
    def absent_version(self) -> messages.Version:
        """The version of a key that was read just now and does not exist."""
        return messages.Version(self.era, 0)

    def on_new_era(self, listener: store_era.Listener) -> None:
        """Register a function to call whenever the store was restored."""
        self._session.era.on_new_era(listener)

    async def _send(self, call: store_session.Call) -> store_session.Response:
        now = self._session.clock()
        wait_s: float | None = None
        if now >= self._not_before:
            self._bucket, wait_s = decisions.reserve(
                self._bucket, self._rate, now, max_wait_s=self._max_wait_s
            )
        if wait_s is None:
            self._session.count("refused_by_budget")
            raise errors.StoreBudgetExhaustedError(
                "the budget of store calls is used up"
            )
        if wait_s:
            await asyncio.sleep(wait_s)
        return await self._session.send(call)

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
            store_session.Call(
                "GET",
                f"/api/kv-key?{query}",
                timeout_s=timeout_s or store_session.TIMEOUT_S,
                bodies={store_session.OK: wire.StoredItem},
            )
        )
        if answer.status == store_session.NOT_FOUND:
            return None
        return wire.decode_item(answer.body, answer.era)

    async def put(
        self,
        key: str,
        value: str,
        *,
        version: messages.Version,
        lease: int = 0,
    ) -> messages.Version:
        """Write a key by compare-and-swap.

        :param version: the version that the key must have;
            ``absent_version`` if it must not exist.
        :param lease: the id of the lease with which the key expires, 0 for
            none.
        :returns: the new version.
        :raises StoreConflictError: if the key has another version, or the
            version is of an earlier era.
        :raises StoreLeaseError: if the lease has ended.
        :raises StoreUncertainError: if the write may have taken effect.
        """
        return await self._commit(
            key, version, puts=(wire.encode_put(key, value, lease),)
        )

    async def delete(self, key: str, *, version: messages.Version) -> None:
        """Delete a key by compare-and-swap.

        :param version: the version that the key must have.
        :raises StoreConflictError: if the key has another version, or the
            version is of an earlier era.
        """
        await self._commit(key, version, remove=(key,))

    async def _commit(
        self,
        key: str,
        version: messages.Version,
        *,
        puts: tuple[wire.Put, ...] = (),
        remove: tuple[str, ...] = (),
    ) -> messages.Version:
        transaction = wire.Transaction(
            (wire.Precondition(key, version.revision),), puts, remove
        )
        answer = await self._send(
            store_session.Call(
                "POST",
                "/api/kv-txn",
                kind="writes",
                body=codec.encode(transaction),
                expected=(key, version),
                bodies={
                    store_session.OK: wire.Committed,
                    store_session.CONFLICT: wire.Conflict,
                },
            )
        )
        if answer.status == store_session.CONFLICT:
            raise errors.StoreConflictError(
                key, answer.body.find_version(key, answer.era)
            )
        if answer.status == store_session.NOT_FOUND:
            raise errors.StoreLeaseError("the lease has ended")
        return messages.Version(answer.era, answer.body.revision)

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
        snapshot of a single revision. All are of the same era. Its version is
        that of the first page: a watch after it reports whatever later pages
        lack.

        :param after: list only keys that sort after this one.
        :param limit: the maximum number of entries.
        :param stale: whether the entries may be some seconds out of date;
            such a read costs the store a tenth of a current one.
        :param timeout_s: seconds to wait for each page, None for the
            default.
        """
        found: list[messages.Entry] = []
        version: messages.Version | None = None
        position = after
        size = 0
        while True:
            answer = await self._read_page(prefix, position, stale, timeout_s)
            size += answer.size
            if size > MAX_LISTING_BYTES:
                raise errors.StoreUncertainError(
                    f"more than {MAX_LISTING_BYTES} bytes below {prefix!r}"
                )
            page: wire.Page = answer.body
            if version is None:
                version = messages.Version(answer.era, page.store_revision)
            elif not decisions.can_continue(version, answer.era):
                # The store was restored between two pages.
                found, version, position = [], None, after
                continue
            found += page.decode_items(answer.era)
            if not page.more_pages or len(found) >= limit:
                return messages.Listing(tuple(found[:limit]), version)
            position = _find_next_position(page, position)

    async def _read_page(
        self, prefix: str, after: str, stale: bool, timeout_s: float | None
    ) -> store_session.Response:
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        path = f"/api/kv-range?{parse.urlencode(query)}"
        return await self._send(
            store_session.Call(
                "GET",
                path,
                timeout_s=timeout_s or store_session.TIMEOUT_S,
                bodies={store_session.OK: wire.Page},
            )
        )

    async def watch(
        self, prefix: str, *, after: messages.Version, wait_s: float
    ) -> messages.Listing:
        """Wait for entries below a prefix that are newer than a version.

        If the store has discarded the history after that version, or has
        been restored from an old copy since, the current entries are listed
        instead.

        :param after: the latest version of the store that is known.
        :param wait_s: the maximum wait, in seconds.
        :returns: the newer entries, none if the wait timed out.
        """
        if not decisions.may_use_version(after, self._session.era.known):
            return await self.list(prefix)
        query = parse.urlencode(
            {
                "pathPrefix": prefix,
                "after": after.revision,
                "waitMs": round(wait_s * 1000),
            }
        )
        answer = await self._send(
            store_session.Call(
                "GET",
                f"/api/kv-watch?{query}",
                kind="watches",
                timeout_s=wait_s + _WATCH_MARGIN_S,
                bodies={store_session.OK: wire.Events},
            )
        )
        if answer.status == store_session.GONE or not decisions.can_continue(
            after, answer.era
        ):
            return await self.list(prefix)
        events: wire.Events = answer.body
        return messages.Listing(
            events.decode_items(answer.era),
            messages.Version(answer.era, events.store_revision),
        )

    async def grant(self, ttl_s: float) -> messages.Lease:
        """Request a lease.

        :param ttl_s: the requested time to live, in seconds.
        :returns: the lease with the time to live that the store granted.
        """
        answer = await self._send(
            store_session.Call(
                "POST",
                "/api/kv-lease",
                kind="leases",
                body=codec.encode(wire.LeaseRequest(round(ttl_s * 1000))),
                bodies={store_session.OK: wire.LeaseGrant},
            )
        )
        granted: wire.LeaseGrant = answer.body
        return messages.Lease(granted.lease, granted.ttl_ms / 1000, answer.era)

    async def renew(self, lease: int) -> bool:
        """Renew a lease.

        :param lease: the id of the lease.
        :returns: False if the lease had already lapsed.
        """
        answer = await self._send(
            store_session.Call("POST", f"/api/kv-keep/{lease}", kind="leases")
        )
        return answer.status == store_session.OK


def _find_next_position(page: wire.Page, position: str) -> str:
    """Return the key after which the next page of a listing begins.

    :param position: the key after which this page began.
    :raises StoreUncertainError: if the page does not lead to another one.
    """
    last = page.items[-1].key if page.items else position
    if last <= position:
        raise errors.StoreUncertainError(
            f"a page after {position!r} announces another one after {last!r}"
        )
    return last
