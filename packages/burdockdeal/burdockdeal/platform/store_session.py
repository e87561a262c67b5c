"""The HTTP session with the platform's store that all clients share."""

import asyncio
from collections import abc
import dataclasses
import socket
import typing

import aiohttp
import yarl

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.overload import body_io
from burdockdeal.platform import decisions
from burdockdeal.platform import messages
from burdockdeal.platform import state
from burdockdeal.platform import store_era
from burdockdeal.platform import store_trace
from burdockdeal.platform import wire
from burdockdeal.serving import connection_guard
from burdockdeal.settings import model

#: Default timeout of a call in seconds.
TIMEOUT_S = 2.0

#: Maximum length of a response in bytes: that of several pages.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
_EXPECTED_STATUSES = frozenset({OK, NOT_FOUND, GONE, CONFLICT})

#: Statuses with which the store reports that it did not execute the call.
_REFUSED_STATUSES = frozenset({429, 503})

_JSON_HEADERS = {"Content-Type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to the store.

    :param kind: the counter of its kind, a field of CallCounts.
    :param expected: the key and version that a write is conditional on, None
        for a call that is not a conditional write.
    :param bodies: the type of a response's body, by the response's status;
        that of any other response does not matter.
    """

    method: str
    path: str
    kind: str = "reads"
    body: bytes | None = None
    timeout_s: float = TIMEOUT_S
    expected: tuple[str, messages.Version] | None = None
    bodies: abc.Mapping[int, type] = dataclasses.field(default_factory=dict)

    def __str__(self) -> str:
        return f"{self.method} {self.path}"


@dataclasses.dataclass(frozen=True, slots=True)
class _RawResponse:
    status: int
    body: bytes
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response of the store.

    :param body: the message in its body, None if that does not matter.
    :param size: length of its body in bytes.
    :param era: the store's era.
    """

    status: int
    body: typing.Any
    size: int
    era: int


class StoreSession:
    """Sends calls, and keeps what concerns all clients of a daemon.

    :param address: the address of the store.
    :param clock: returns monotonic time in seconds.
    :param socket_factory: creates the connections' sockets.
    """

    def __init__(
        self,
        address: model.Address,
        clock: abc.Callable[[], float],
        socket_factory: abc.Callable[..., socket.socket] | None = None,
    ) -> None:
        self._base = f"http://{address.host}:{address.port}"
        self._socket_factory = socket_factory
        self._http: aiohttp.ClientSession | None = None
        self.clock = clock
        self.calls = state.CallCounts()
        self.failure_streak = state.FailureStreak()
        self.era = store_era.EraTracker()

    async def __aenter__(self) -> "StoreSession":
        connector = aiohttp.TCPConnector(socket_factory=self._socket_factory)
        connection_guard.guard_connections(connector)
        self._http = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[store_trace.build_reuse_trace()],
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._http is not None
        await self._http.close()

    def count(self, field: str) -> None:
        """Increment a counter of calls, a field of CallCounts."""
        self.calls = decisions.increment(self.calls, field)

    async def send(self, call: Call) -> Response:
        """Send a call.

        :raises StoreVersionOutdatedError: if it is conditional on a version
            of an earlier era; it was not sent.
        :raises StoreEraError: if the response is not the call's result,
            because the store was restored from an old copy.
        :raises PlatformError: if the store did not answer.
        """
        self._check_version(call)
        self.count(call.kind)
        response = await self._exchange(call)
        self._record_outcome(response.status in _EXPECTED_STATUSES)
        # A refusal may come from a proxy that knows of no era.
        if response.status in _REFUSED_STATUSES:
            raise errors.StoreUnavailableError(f"{call}: {response.status}")
        if response.status not in _EXPECTED_STATUSES:
            raise errors.StoreUncertainError(f"{call}: {response.status}")
        # Only a response that is wholly valid shows a new era.
        kind = call.bodies.get(response.status)
        body = wire.decode_message(response.body, kind) if kind else None
        if not decisions.is_result(
            self.era.record(response.era),
            answered=response.era,
            written_on=call.expected[1] if call.expected else None,
        ):
            event_log.warn(
                "store_response_of_other_era",
                call=call,
                known=self.era.known,
                answered=response.era,
            )
            raise errors.StoreEraError(f"{call}: era {response.era}")
        return Response(
            response.status, body, len(response.body), response.era
        )

    def _check_version(self, call: Call) -> None:
        if call.expected is None:
            return
        key, version = call.expected
        if decisions.may_use_version(version, self.era.known):
            return
        event_log.warn(
            "store_write_outdated",
            key=key,
            era=version.era,
            known=self.era.known,
        )
        raise errors.StoreVersionOutdatedError(key, version)

    async def _exchange(self, call: Call) -> _RawResponse:
        assert self._http is not None
        attempt = store_trace.Attempt()
        try:
            async with self._http.request(
                call.method,
                yarl.URL(self._base + call.path, encoded=True),
                data=call.body,
                headers=_JSON_HEADERS if call.body else None,
                timeout=aiohttp.ClientTimeout(total=call.timeout_s),
                trace_request_ctx=attempt,
            ) as response:
                body = await body_io.read_whole_response(
                    response, MAX_RESPONSE_BYTES
                )
                return _RawResponse(
                    response.status,
                    body,
                    wire.parse_era(response.headers.get(wire.ERA_HEADER)),
                )
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            self._record_outcome(False)
            connect_failed = isinstance(error, aiohttp.ClientConnectorError)
            if connect_failed and not attempt.reused:
                raise errors.StoreUnavailableError(str(error)) from error
            raise errors.StoreUncertainError(f"{call}: {error!r}") from error

    def _record_outcome(self, answered: bool) -> None:
        if not answered:
            self.count("failed")
        self.failure_streak = decisions.record_answer(
            self.failure_streak, answered, self.clock()
        )
