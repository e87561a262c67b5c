"""Structured logs: one line of key=value pairs an event.

Lines go to standard output through a bounded buffer that never blocks the
loop. Lines about single requests are bounded in their rate as well; what is
dropped is counted, and told in a line of its own.
"""

import asyncio
import collections
import datetime
import json
import logging as standard_logging
import os
import pathlib
import sys
import time
import traceback

from absl import flags
from absl import logging

_TRACE_FRAMES = 4

#: Lines that wait for a reader of standard output; more are dropped.
MOST_WAITING_LINES = 4096

#: Bytes that are written at once.
_WRITE_BYTES = 65536

#: Lines about single requests in a second, and how many may be saved up.
REQUEST_LINES_PER_S = 300.0
REQUEST_LINES_BURST = 900.0

#: Seconds until a reader that takes no bytes is tried again.
_RETRY_S = 0.05

#: Seconds between two lines that tell what was dropped.
_TELL_DROPPED_S = 1.0


class _LineFormatter(standard_logging.Formatter):
    """Writes every record, a library's too, as one line of pairs."""

    def format(self, record: standard_logging.LogRecord) -> str:
        message = record.getMessage()
        if not message.startswith("event="):
            error = record.exc_info[1] if record.exc_info else None
            message = format_event(
                "library",
                logger=record.name,
                message=message,
                error=repr(error) if error else None,
                where=format_traceback(error) if error else None,
            )
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        at = moment.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
        return f"at={at} level={record.levelname} {message}"


class NonBlockingHandler(standard_logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    :param descriptor: where the lines go.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._begun = b""
        self._is_due = False
        self.dropped = 0

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Take a line."""
        if len(self._waiting) >= MOST_WAITING_LINES:
            self.dropped += 1
            return
        self._waiting.append(f"{self.format(record)}\n".encode())
        if self._is_due:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._write_all()
            return
        self._is_due = True
        loop.call_soon(self._write_some, loop)

    def close(self) -> None:
        """Write what a reader takes at once."""
        self._write_all()
        super().close()

    def _write_some(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_due = False
        if not self._write_all():
            self._is_due = True
            loop.call_later(_RETRY_S, self._write_some, loop)

    def _write_all(self) -> bool:
        """Write what waits.

        :returns: whether all of it was taken.
        """
        while self._begun or self._waiting:
            if not self._begun:
                self._begun = self._take_lines()
            try:
                written = os.write(self._descriptor, self._begun)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; there is nowhere to tell of it.
                self._begun = b""
                self._waiting.clear()
                return True
            self._begun = self._begun[written:]
        return True

    def _take_lines(self) -> bytes:
        size = 0
        lines = []
        while self._waiting and size < _WRITE_BYTES:
            lines.append(self._waiting.popleft())
            size += len(lines[-1])
        return b"".join(lines)


class _RequestLines:
    """Bounds the rate of lines about single requests."""

    def __init__(self) -> None:
        self._tokens = REQUEST_LINES_BURST
        self._filled_at = time.monotonic()
        self._told_at = self._filled_at
        self._dropped = 0
        self.dropped_total = 0

    def take(self) -> bool:
        """Tell whether one more line may be written."""
        now = time.monotonic()
        gained = (now - self._filled_at) * REQUEST_LINES_PER_S
        self._tokens = min(REQUEST_LINES_BURST, self._tokens + gained)
        self._filled_at = now
        self._tell(now)
        if self._tokens < 1:
            self._dropped += 1
            self.dropped_total += 1
            return False
        self._tokens -= 1
        return True

    def _tell(self, now: float) -> None:
        if self._dropped and now - self._told_at >= _TELL_DROPPED_S:
            warn("lines_dropped", lines=self._dropped)
            self._dropped = 0
            self._told_at = now


_request_lines = _RequestLines()


def count_dropped_lines() -> int:
    """Count the lines that were dropped since the start."""
    return _request_lines.dropped_total + sum(
        handler.dropped
        for handler in standard_logging.getLogger("absl").handlers
        if isinstance(handler, NonBlockingHandler)
    )


def configure(*, verbose: bool) -> None:
    """Send the logs of this process to standard output.

    :param verbose: log what matters to developers, too.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    os.set_blocking(sys.stdout.fileno(), False)
    sink = NonBlockingHandler(sys.stdout.fileno())
    sink.setFormatter(_LineFormatter())
    for logger in (logging.get_absl_logger(), standard_logging.getLogger()):
        logger.handlers = [sink]
    logging.get_absl_logger().propagate = False
    for noisy in ("mode", "asyncio", "burdockdeal"):
        standard_logging.getLogger(noisy).setLevel(standard_logging.WARNING)


def _is_plain(char: str) -> bool:
    return " " < char <= "~" and char not in '"='


def _quote(value: object) -> str:
    text = str(value)
    if text and all(map(_is_plain, text)):
        return text
    return json.dumps(text)


def format_event(event: str, **fields: object) -> str:
    """Write an event as one line.

    :param event: the event's name, in snake_case.
    :param fields: what is known of it; None is left out.
    :returns: the line, without its end.
    """
    pairs = [f"event={event}"]
    pairs += [
        f"{name}={_quote(value)}"
        for name, value in fields.items()
        if value is not None
    ]
    return " ".join(pairs)


def format_traceback(error: BaseException) -> str:
    """Name where an error was raised, the innermost frames first.

    :returns: up to four frames on one line.
    """
    frames = traceback.extract_tb(error.__traceback__)[-_TRACE_FRAMES:]
    return " < ".join(
        f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"
        for frame in reversed(frames)
    )


def record(event: str, **fields: object) -> None:
    """Log an event that an operator may want to know."""
    if logging.level_info():
        logging.info(format_event(event, **fields))


def record_request(event: str, **fields: object) -> None:
    """Log a decision on a single request, unless there are too many."""
    if logging.level_info() and _request_lines.take():
        logging.info(format_event(event, **fields))


def warn(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    logging.warning(format_event(event, **fields))


def debug(event: str, **fields: object) -> None:
    """Log an event that matters to developers only."""
    if logging.level_debug():
        logging.debug(format_event(event, **fields))
