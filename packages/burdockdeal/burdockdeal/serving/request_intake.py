"""Parsing of what a connection receives, in turns with other connections."""

import asyncio
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

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._used = 0
        self._ends_at = 0.0

    def take(self) -> bool:
        """Take a piece, and return whether one was left."""
        now = self._clock()
        if not self._used:
            self._ends_at = now + MAX_TURN_S
            asyncio.get_running_loop().call_soon(self._renew)
        if self._used >= MAX_PIECES_OF_ALL_PER_TURN or now > self._ends_at:
            return False
        self._used += 1
        return True

    def _renew(self) -> None:
        self._used = 0


class RequestIntake:
    """Parses a bounded number of pieces in one turn of the event loop.

    :param receiver: the connection.
    :param reader: parses what the connection receives.
    :param budget: what may be parsed of all connections.
    :param loop: the running event loop.
    """

    def __init__(
        self,
        receiver: Receiver,
        reader: request_reading.RequestReader,
        budget: TurnBudget,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._receiver = receiver
        self._reader = reader
        self._budget = budget
        self._loop = loop
        self._next_turn: asyncio.Handle | None = None

    @property
    def has_turn_due(self) -> bool:
        """Whether the rest is parsed in the next turn of the loop."""
        return self._next_turn is not None

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
        """Drop what was received, and the turn that is due."""
        if self._next_turn is not None:
            self._next_turn.cancel()
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
        """Parse the rest in the next turn."""
        if self._reader.has_data and not self._receiver.is_held:
            self._receiver.hold_reading()
            self._next_turn = self._loop.call_soon(self._start_turn)

    def _accept(self, received: request_reading.Received) -> None:
        for message, payload in received:
            self._receiver.accept(message, payload)

    def _start_turn(self) -> None:
        self._next_turn = None
        self._receiver.resume_if_free()
