"""Parsing of what a connection receives, in turns with other connections."""

import asyncio
import collections
from collections import abc
import typing

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from burdockdeal.core import errors
from burdockdeal.serving import request_reading

#: Pieces of received bytes that are parsed of one connection, and of all
#: together, in one turn of the event loop. Most pieces are a head or the whole
#: of what was read. What a turn starts can be ended in the next one at the
#: soonest, so the second number bounds what exceeds the memory limit.
MAX_PIECES_PER_TURN = 16
MAX_PIECES_OF_ALL_PER_TURN = 128

#: Seconds of a turn after which the rest waits for the next one. A piece in
#: chunks of one byte takes about a millisecond.
MAX_TURN_S = 0.01


class Receiver(typing.Protocol):
    """The connection whose requests are parsed."""

    closing: bool

    @property
    def is_ignoring(self) -> bool:
        """Whether what the client sends is not read any more."""

    @property
    def is_held(self) -> bool:
        """Whether what was received has to wait."""

    def hold_reading(self) -> None:
        """Keep what is received waiting until `resume_if_free`."""

    def resume_if_free(self) -> None:
        """Go on reading, unless something else holds it."""

    def accept(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Start a request."""

    def reject(
        self, error: errors.NotRunError | http_exceptions.HttpProcessingError
    ) -> None:
        """Refuse what could not be parsed."""


class TurnBudget:
    """Bounds what is parsed of all connections in one turn of the loop.

    Connections that find nothing left wait in a queue for further turns.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._used = 0
        self._ends_at = 0.0
        self._waiting: collections.deque[abc.Callable[[], None]] = (
            collections.deque()
        )
        self._is_serving = False
        self._is_scheduled = False

    def take(self) -> bool:
        """Take a piece, and return whether one was left."""
        if self._waiting and not self._is_serving:
            return False
        if not self._used:
            self._ends_at = self._clock() + MAX_TURN_S
        self._schedule()
        if not self._has_left():
            return False
        self._used += 1
        return True

    def defer(self, start_turn: abc.Callable[[], None]) -> None:
        """Call a function in a later turn, behind those that wait."""
        self._waiting.append(start_turn)
        self._schedule()

    def _has_left(self) -> bool:
        if not self._used:
            return True
        return (
            self._used < MAX_PIECES_OF_ALL_PER_TURN
            and self._clock() <= self._ends_at
        )

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._used = 0
        self._is_serving = True
        try:
            # Those that have not finished wait again at the end.
            for _ in range(len(self._waiting)):
                if not self._has_left():
                    break
                self._waiting.popleft()()
        finally:
            self._is_serving = False
            if self._waiting:
                self._schedule()


class RequestIntake:
    """Parses a bounded number of pieces in one turn of the event loop.

    :param receiver: the connection.
    :param reader: parses what the connection receives.
    :param budget: what may be parsed of all connections.
    """

    def __init__(
        self,
        receiver: Receiver,
        reader: request_reading.RequestReader,
        budget: TurnBudget,
    ) -> None:
        self._receiver = receiver
        self._reader = reader
        self._budget = budget
        self._is_closed = False
        #: Whether the rest is parsed in a later turn of the loop.
        self.has_turn_due = False

    @property
    def held_bytes(self) -> int:
        """Bytes that are held outside of bodies."""
        return self._reader.held_bytes

    @property
    def head_since(self) -> float | None:
        """When the head that is being received began."""
        return self._reader.head_since

    def pause_reading(self) -> None:
        """Make the parser stop at the next byte of the body."""
        self._reader.pause_reading()

    def discard(self) -> None:
        """Drop what was received and not parsed."""
        self._reader.discard()

    def close(self) -> None:
        """Drop what was received, and parse nothing more."""
        self._is_closed = True
        self.discard()

    def push(self, data: bytes) -> None:
        """Add received bytes, and parse until they have to wait."""
        self._reader.push(data)
        self.parse()

    def resume(self) -> None:
        """Go on parsing after the connection was held."""
        self._reader.restart_head_timer()
        self.parse()

    def parse(self) -> None:
        """Parse what was received until it has to wait."""
        try:
            for _ in range(MAX_PIECES_PER_TURN):
                if not self._parse_piece():
                    return
        except (
            errors.NotRunError,
            http_exceptions.HttpProcessingError,
        ) as error:
            self.discard()
            self._receiver.reject(error)
            return
        self._defer()

    def _parse_piece(self) -> bool:
        """Parse what the parser kept, and a piece.

        :returns: whether to go on in this turn.
        """
        if self._receiver.is_held:
            return False
        self._accept(self._reader.flush())
        if self._receiver.is_ignoring:
            self.discard()
        if self._receiver.is_held or not self._reader.has_data:
            return False
        if not self._budget.take():
            self._defer()
            return False
        received, is_upgraded = self._reader.parse_piece()
        self._accept(received)
        if is_upgraded:
            self._receiver.closing = True
            self.discard()
        if not self._receiver.is_held:
            self._accept(self._reader.flush())
        return True

    def _defer(self) -> None:
        """Parse the rest in a later turn."""
        if self._reader.has_data and not self._receiver.is_held:
            self._receiver.hold_reading()
            self.has_turn_due = True
            self._budget.defer(self._start_turn)

    def _accept(self, received: request_reading.Received) -> None:
        for message, payload in received:
            self._receiver.accept(message, payload)

    def _start_turn(self) -> None:
        self.has_turn_due = False
        if not self._is_closed:
            self._receiver.resume_if_free()
