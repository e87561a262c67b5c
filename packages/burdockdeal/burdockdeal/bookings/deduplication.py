"""The runs of keys at their owner: one run each, its answer kept."""

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

#: Bytes of one answer's body that is kept.
MAX_RESPONSE_BYTES = 65_536

#: Bytes of all kept bodies; the oldest go first.
MAX_STORED_BYTES = 16_000_000


def fingerprint(send: serving.Send) -> str:
    """Make a digest of what a request asks for.

    A body that is streamed is known by its length only.
    """
    outbound = send.outbound
    whole = outbound.body.buffered
    if whole is None:
        whole = outbound.headers.get("Content-Length", "").encode()
    digest = hashlib.sha256(f"{outbound.method} {outbound.target}\n".encode())
    digest.update(whole)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """An answer that is kept whole."""

    status: int
    reason: str | None
    headers: multidict.MultiMapping[str]
    body: bytes


class _Content:
    """A body of which a part was read already.

    :param rest: what follows; None for nothing.
    """

    def __init__(self, first: bytes, rest: serving.BodyReader | None) -> None:
        self._first = first
        self._rest = rest

    async def readany(self) -> bytes:
        first, self._first = self._first, b""
        if first or self._rest is None:
            return first
        return await self._rest.readany()

    def at_eof(self) -> bool:
        ended = self._rest is None or self._rest.at_eof()
        return not self._first and ended


def _replay(kept: StoredResponse) -> serving.Response:
    content = _Content(kept.body, None)
    return serving.Response(kept.status, kept.reason, kept.headers, content)


class _Run:
    """One key and its run.

    :param mark: the fingerprint of the request that first came with it.
    :param claim_id: names its claim in the store.
    :param until: monotonic time in seconds at which it is forgotten.
    """

    def __init__(self, mark: str, claim_id: str, until: float) -> None:
        self.mark = mark
        self.claim_id = claim_id
        self.until = until
        self.stage = state.KeyState.IDLE
        # A claim of this daemon's may stand; one does.
        self.claimed = False
        self.held = False
        self.kept: StoredResponse | None = None
        self.live: serving.Response | None = None
        self.failure: errors.CallError | None = None
        # Set once there is an answer or a failure.
        self.told = asyncio.Event()
        # Set once the first caller has done with a live answer.
        self.released = asyncio.Event()


class Deduplicator:
    """Holds the keys that this owner remembers.

    :param open_owner: opens the answer of the upstream beside it.
    :param clock: returns monotonic time in seconds.
    :param new_id: returns ids that are unique in the fleet.
    :param limit: keys that are remembered at once.
    """

    def __init__(
        self,
        open_owner: serving.OpenResponse,
        clock: abc.Callable[[], float],
        new_id: abc.Callable[[], str],
        *,
        limit: int,
        retention_s: float,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self._open_owner = open_owner
        self._clock = clock
        self._new_id = new_id
        self._limit = limit
        self._retention_s = retention_s
        self._total_bytes = max_stored_bytes
        self._runs: dict[str, _Run] = {}
        self._kept_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def active_count(self) -> int:
        """How many runs are under way."""
        return len(self._tasks)

    def note_claim(self, name: str) -> str:
        """Note that a claim of this daemon's may stand for a key.

        :returns: the claim's id, the same until the key is forgotten.
        """
        run = self._runs[name]
        run.claimed = True
        return run.claim_id

    def note_held(self, name: str, held: bool) -> None:
        """Note whether this daemon's claim stands for a key."""
        self._runs[name].claimed = self._runs[name].held = held

    @contextlib.asynccontextmanager
    async def open_response(
        self, send: serving.Send
    ) -> abc.AsyncIterator[serving.Response]:
        """Open the answer to a call that carries a key.

        :raises CallError: if there is none.
        """
        name = claim_store.build_store_key(
            send.request.service, send.request.idempotency_key or ""
        )
        mark = fingerprint(send)
        run = self._runs.get(name)
        step = decisions.decide_key(
            run.stage if run else None,
            same_request=run is not None and run.mark == mark,
        )
        if step is state.KeyAction.REFUSE_CONFLICT:
            raise errors.NotRunError(verdict.Reason.KEY_CONFLICT)
        if step is state.KeyAction.RUN:
            async with self._begin(name, mark, send) as answer:
                yield answer
            return
        assert run is not None
        await self._wait(run, send)
        yield self._read_again(run)

    @contextlib.asynccontextmanager
    async def _begin(
        self, name: str, mark: str, send: serving.Send
    ) -> abc.AsyncIterator[serving.Response]:
        run = self._remember(name, mark)
        run.stage = state.KeyState.RUNNING
        run.told.clear()
        # The run goes on when its caller goes away: a resend then finds
        # the answer. Only a body that still streams ends with its caller.
        task = asyncio.create_task(self._carry(name, run, send))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await run.told.wait()
            if run.failure is not None:
                raise run.failure
            if run.live is not None:
                yield run.live
            else:
                assert run.kept is not None
                yield _replay(run.kept)
        finally:
            run.released.set()
            if send.outbound.body.is_streamed:
                task.cancel()

    async def _carry(self, name: str, run: _Run, send: serving.Send) -> None:
        run.failure = None
        run.released.clear()
        try:
            async with self._open_owner(send) as answer:
                run.stage = state.KeyState.UNSURE
                await self._read(run, answer)
        except errors.NotRunError as error:
            run.stage = state.KeyState.IDLE
            run.failure = error
            error.settled = run.held
            if not run.claimed:
                del self._runs[name]
        except errors.CallError as error:
            run.stage = state.KeyState.UNSURE
            run.failure = error
        except (aiohttp.ClientError, OSError) as error:
            run.stage = state.KeyState.UNSURE
            run.failure = errors.MayHaveRunError(
                verdict.Reason.BROKEN_CONNECTION, repr(error)
            )
        finally:
            if run.stage is state.KeyState.RUNNING:
                run.stage = state.KeyState.UNSURE
            if run.live is None and run.kept is None and run.failure is None:
                run.failure = errors.MayHaveRunError(
                    verdict.Reason.CALLER_GONE
                )
            run.told.set()

    async def _read(self, run: _Run, answer: serving.Response) -> None:
        body = bytearray()
        while len(body) <= MAX_RESPONSE_BYTES:
            chunk = await answer.content.readany()
            body += chunk
            if not chunk or answer.content.at_eof():
                self._keep(run, answer, bytes(body))
                return
        content = _Content(bytes(body), answer.content)
        run.live = dataclasses.replace(answer, content=content)
        run.stage = state.KeyState.GONE
        run.told.set()
        await run.released.wait()
        run.live = None

    def _keep(self, run: _Run, answer: serving.Response, body: bytes) -> None:
        run.kept = StoredResponse(
            answer.status, answer.reason, answer.headers, body
        )
        run.stage = state.KeyState.KEPT
        self._kept_bytes += len(body)
        for other in self._runs.values():
            if self._kept_bytes <= self._total_bytes:
                break
            if other is not run:
                self._drop(other)

    def _drop(self, run: _Run) -> None:
        if run.kept is not None:
            self._kept_bytes -= len(run.kept.body)
            run.kept = None
            run.stage = state.KeyState.GONE

    async def _wait(self, run: _Run, send: serving.Send) -> None:
        try:
            async with asyncio.timeout(send.request.deadline - self._clock()):
                await run.told.wait()
        except TimeoutError as error:
            raise errors.MayHaveRunError(verdict.Reason.TIMED_OUT) from error

    def _read_again(self, run: _Run) -> serving.Response:
        if run.kept is not None:
            event_log.record("answer_replayed", status=run.kept.status)
            return _replay(run.kept)
        if run.stage is state.KeyState.GONE:
            raise errors.RanError(verdict.Reason.ANSWER_GONE)
        if isinstance(run.failure, errors.NotRunError):
            raise run.failure
        raise errors.MayHaveRunError(verdict.Reason.ANSWER_GONE)

    def _remember(self, name: str, mark: str) -> _Run:
        self._forget()
        run = self._runs.get(name)
        if run is not None:
            return run
        if len(self._runs) >= self._limit:
            detail = "no room for another idempotency key"
            raise errors.NotRunError(verdict.Reason.OVERLOADED, detail)
        # A claim lives so long; the key is not forgotten before.
        kept_s = self._retention_s * (claim_store.LEASE_RETENTION_FACTOR + 1)
        run = _Run(mark, self._new_id(), self._clock() + kept_s)
        self._runs[name] = run
        return run

    def _forget(self) -> None:
        now = self._clock()
        for name, run in list(self._runs.items())[:2]:
            if run.until <= now and run.stage is not state.KeyState.RUNNING:
                self._drop(run)
                del self._runs[name]
