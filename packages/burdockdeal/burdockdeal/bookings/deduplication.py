"""Deduplication, at the owner daemon, of calls with the same key.

The first call with an idempotency key runs; calls with the same key that
come during or after the run get the same response.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import hashlib

import aiohttp
import multidict

from burdockdeal.bookings import claim_store
from burdockdeal.bookings import decisions
from burdockdeal.bookings import state
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.serving import messages as serving

#: Maximum size in bytes of the body of a response that is stored.
MAX_RESPONSE_BYTES = 65_536

#: Maximum size in bytes of all stored bodies; the responses to the oldest
#: keys are evicted first.
MAX_STORED_BYTES = 16_000_000


def compute_fingerprint(send: serving.Send) -> str:
    """Compute a digest of the method, target and body of a request.

    Only the length of a streamed body is part of the digest.
    """
    outbound = send.outbound
    content = outbound.body.buffered
    if content is None:
        content = outbound.headers.get("Content-Length", "").encode()
    digest = hashlib.sha256(f"{outbound.method} {outbound.target}\n".encode())
    digest.update(content)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response.

    :param reason: the HTTP reason phrase.
    """

    status: int
    reason: str | None
    headers: multidict.MultiMapping[str]
    body: bytes


class _BufferedReader:
    """Reader of a body whose beginning is in memory already.

    :param buffered: the beginning of the body.
    :param rest: reads the rest of the body, None if there is none.
    """

    def __init__(
        self, buffered: bytes, rest: serving.BodyReader | None
    ) -> None:
        self._buffered = buffered
        self._rest = rest

    async def readany(self) -> bytes:
        buffered, self._buffered = self._buffered, b""
        if buffered or self._rest is None:
            return buffered
        return await self._rest.readany()

    def at_eof(self) -> bool:
        rest_at_eof = self._rest is None or self._rest.at_eof()
        return not self._buffered and rest_at_eof


def _replay(stored: StoredResponse) -> serving.Response:
    content = _BufferedReader(stored.body, None)
    return serving.Response(
        stored.status, stored.reason, stored.headers, content
    )


class _KeyRecord:
    """What this daemon knows of one idempotency key and its run.

    :param fingerprint: fingerprint of the request that the key was first
        used for.
    :param claim_id: id of the key's claim in the store.
    :param expires_at: monotonic time in seconds after which the record is
        removed.
    """

    def __init__(
        self, fingerprint: str, claim_id: str, expires_at: float
    ) -> None:
        self.fingerprint = fingerprint
        self.claim_id = claim_id
        self.expires_at = expires_at
        self.state = state.KeyState.IDLE
        # Whether this daemon's claim may be in the store, and whether it is
        # known to be there.
        self.may_hold_claim = False
        self.holds_claim = False
        self.stored: StoredResponse | None = None
        # The response while its body is streamed to the first caller.
        self.streaming: serving.Response | None = None
        self.error: errors.CallError | None = None
        # Set once there is a response or an error.
        self.resolved = asyncio.Event()
        # Set once the first caller no longer reads a streamed response.
        self.released = asyncio.Event()


class Deduplicator:
    """Runs each idempotency key at most once and stores the responses.

    :param open_upstream: sends a call to the upstream beside this daemon.
    :param clock: returns monotonic time in seconds.
    :param generate_id: returns ids that are unique in the fleet.
    :param limit: maximum number of recorded keys.
    :param retention_s: seconds for which a key must be remembered.
    :param max_stored_bytes: maximum size in bytes of all stored bodies.
    """

    def __init__(
        self,
        open_upstream: serving.OpenResponse,
        clock: abc.Callable[[], float],
        generate_id: abc.Callable[[], str],
        *,
        limit: int,
        retention_s: float,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self._open_upstream = open_upstream
        self._clock = clock
        self._generate_id = generate_id
        self._limit = limit
        self._retention_s = retention_s
        # A record must outlive the key's claim in the store, whose lease
        # lasts for LEASE_RETENTION_FACTOR retention times.
        self._lifetime_s = retention_s * (
            claim_store.LEASE_RETENTION_FACTOR + 1
        )
        self._max_stored_bytes = max_stored_bytes
        self._records: dict[str, _KeyRecord] = {}
        self._stored_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def active_count(self) -> int:
        """Number of runs in progress."""
        return len(self._tasks)

    def begin_claim(self, store_key: str) -> str:
        """Record that this daemon is about to claim a key in the store.

        :param store_key: the store key of the claim.
        :returns: the id for the claim, the same until the record expires.
        """
        record = self._records[store_key]
        record.may_hold_claim = True
        return record.claim_id

    def end_claim(self, store_key: str, holds_claim: bool) -> None:
        """Record whether this daemon's claim of a key is in the store.

        :param store_key: the store key of the claim.
        """
        self._records[store_key].may_hold_claim = self._records[
            store_key
        ].holds_claim = holds_claim

    def list_live_claims(self) -> tuple[tuple[str, str], ...]:
        """List the store keys and ids of the claims that must be kept.

        A claim that is older than the retention time is no longer needed.
        """
        oldest = self._clock() + self._lifetime_s - self._retention_s
        return tuple(
            (store_key, record.claim_id)
            for store_key, record in self._records.items()
            if record.holds_claim and record.expires_at >= oldest
        )

    @contextlib.asynccontextmanager
    async def open_response(
        self, send: serving.Send
    ) -> abc.AsyncIterator[serving.Response]:
        """Open the response to a call that carries an idempotency key.

        :raises CallError: if there is no response.
        """
        store_key = claim_store.build_store_key(
            send.request.service, send.request.idempotency_key or ""
        )
        fingerprint = compute_fingerprint(send)
        record = self._records.get(store_key)
        action = decisions.decide_key_action(
            record.state if record else None,
            same_request=(
                record is not None and record.fingerprint == fingerprint
            ),
        )
        if action is state.KeyAction.REJECT_CONFLICT:
            raise errors.NotRunError(verdict.Reason.KEY_CONFLICT)
        if action is state.KeyAction.RUN:
            async with self._start_run(
                store_key, fingerprint, send
            ) as response:
                yield response
            return
        assert record is not None
        await self._wait_for_run(record, send)
        yield self._get_response(record)

    @contextlib.asynccontextmanager
    async def _start_run(
        self, store_key: str, fingerprint: str, send: serving.Send
    ) -> abc.AsyncIterator[serving.Response]:
        record = self._get_or_add_record(store_key, fingerprint)
        record.state = state.KeyState.RUNNING
        record.resolved.clear()
        # The run continues if its caller disconnects, so that a resend finds
        # the response. Only if the request's body is still streamed from the
        # caller does it end with the caller.
        task = asyncio.create_task(self._run(store_key, record, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await record.resolved.wait()
            if record.error is not None:
                raise record.error
            if record.streaming is not None:
                yield record.streaming
            else:
                assert record.stored is not None
                yield _replay(record.stored)
        finally:
            record.released.set()
            if send.outbound.body.is_streamed:
                task.cancel()

    async def _run(
        self, store_key: str, record: _KeyRecord, send: serving.Send
    ) -> None:
        record.error = None
        record.released.clear()
        try:
            async with self._open_upstream(send) as response:
                record.state = state.KeyState.UNKNOWN
                await self._read_body(record, response)
        except errors.NotRunError as error:
            record.state = state.KeyState.IDLE
            record.error = error
            error.settled = record.holds_claim
            if not record.may_hold_claim:
                del self._records[store_key]
        except errors.CallError as error:
            record.state = state.KeyState.UNKNOWN
            record.error = error
        except (aiohttp.ClientError, OSError) as error:
            record.state = state.KeyState.UNKNOWN
            record.error = errors.MayHaveRunError(
                verdict.Reason.BROKEN_CONNECTION, repr(error)
            )
        finally:
            if record.state is state.KeyState.RUNNING:
                record.state = state.KeyState.UNKNOWN
            if (
                record.streaming is None
                and record.stored is None
                and record.error is None
            ):
                record.error = errors.MayHaveRunError(
                    verdict.Reason.CALLER_GONE
                )
            record.resolved.set()

    async def _read_body(
        self, record: _KeyRecord, response: serving.Response
    ) -> None:
        body = bytearray()
        while len(body) <= MAX_RESPONSE_BYTES:
            chunk = await response.content.readany()
            body += chunk
            if not chunk or response.content.at_eof():
                self._store_response(record, response, bytes(body))
                return
        content = _BufferedReader(bytes(body), response.content)
        record.streaming = dataclasses.replace(response, content=content)
        record.state = state.KeyState.NOT_STORED
        record.resolved.set()
        await record.released.wait()
        record.streaming = None

    def _store_response(
        self, record: _KeyRecord, response: serving.Response, body: bytes
    ) -> None:
        record.stored = StoredResponse(
            response.status, response.reason, response.headers, body
        )
        record.state = state.KeyState.STORED
        self._stored_bytes += len(body)
        for other in self._records.values():
            if self._stored_bytes <= self._max_stored_bytes:
                break
            if other is not record:
                self._evict_response(other)

    def _evict_response(self, record: _KeyRecord) -> None:
        if record.stored is not None:
            self._stored_bytes -= len(record.stored.body)
            record.stored = None
            record.state = state.KeyState.NOT_STORED

    async def _wait_for_run(
        self, record: _KeyRecord, send: serving.Send
    ) -> None:
        try:
            async with asyncio.timeout(send.request.deadline - self._clock()):
                await record.resolved.wait()
        except TimeoutError as error:
            raise errors.MayHaveRunError(verdict.Reason.TIMED_OUT) from error

    def _get_response(self, record: _KeyRecord) -> serving.Response:
        if record.stored is not None:
            event_log.record("answer_replayed", status=record.stored.status)
            return _replay(record.stored)
        if record.state is state.KeyState.NOT_STORED:
            raise errors.RanError(verdict.Reason.ANSWER_GONE)
        if isinstance(record.error, errors.NotRunError):
            raise record.error
        raise errors.MayHaveRunError(verdict.Reason.ANSWER_GONE)

    def _get_or_add_record(
        self, store_key: str, fingerprint: str
    ) -> _KeyRecord:
        self._remove_expired()
        record = self._records.get(store_key)
        if record is not None:
            return record
        if len(self._records) >= self._limit:
            detail = "no room for another idempotency key"
            raise errors.NotRunError(verdict.Reason.OVERLOADED, detail)
        record = _KeyRecord(
            fingerprint, self._generate_id(), self._clock() + self._lifetime_s
        )
        self._records[store_key] = record
        return record

    def _remove_expired(self) -> None:
        now = self._clock()
        for store_key, record in list(self._records.items())[:2]:
            if (
                record.expires_at <= now
                and record.state is not state.KeyState.RUNNING
            ):
                self._evict_response(record)
                del self._records[store_key]
