"""Structured logging: each event is one line of key=value pairs.

Lines go to standard output through a bounded buffer that never blocks the
event loop. Lines about single requests and about single daemons are
rate-limited as well. Dropped lines are counted, and those dropped by a rate
limit are reported in a line of their own.
"""

import asyncio
import collections
import datetime
import json
import logging as standard_logging
import os
import pathlib
import re
import sys
import time
import traceback

from absl import flags
from absl import logging

_TRACE_FRAMES = 4

#: A value that is written without quotes: printable ASCII without spaces,
#: quotation marks and equals signs.
_PLAIN = re.compile("[!#-<>-~]+")

#: Maximum number of buffered lines; further lines are dropped.
MAX_BUFFERED_LINES = 4096

#: Bytes after which a batch of lines is written.
_BATCH_BYTES = 65536

#: Rate limit of lines about single requests, and its burst.
REQUEST_LINES_PER_S = 300.0
REQUEST_LINES_BURST = 900.0

#: The same for lines about single daemons, of which a large fleet writes
#: many when it starts or loses a failure domain.
MEMBER_LINES_PER_S = 10.0
MEMBER_LINES_BURST = 40.0

#: Seconds until the next write to a descriptor that would block.
_RETRY_INTERVAL_S = 0.05

#: Minimum seconds between two reports of dropped lines.
_REPORT_INTERVAL_S = 1.0


class _TimestampFormatter:
    """Formats times; the part down to the second is kept between lines."""

    def __init__(self) -> None:
        self._second = 0
        self._text = ""

    def format(self, created: float) -> str:
        """Format Unix seconds in ISO 8601, with microseconds."""
        second = int(created)
        if second != self._second:
            at = datetime.datetime.fromtimestamp(second, datetime.UTC)
            self._second = second
            self._text = at.strftime("%Y-%m-%dT%H:%M:%S")
        microseconds = int((created - second) * 1_000_000)
        return f"{self._text}.{microseconds:06d}Z"


_timestamps = _TimestampFormatter()


class _LineFormatter(standard_logging.Formatter):
    """Formats every record, a library's too, as one line of pairs."""

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
        at = _timestamps.format(record.created)
        return f"at={at} level={record.levelname} {message}"


class NonBlockingHandler(standard_logging.Handler):
    """Writes lines to a non-blocking descriptor.

    Lines are buffered while the descriptor's reader is behind, and dropped
    once the buffer is full.

    :param descriptor: file descriptor, in non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._partial = b""
        self._is_scheduled = False
        self.dropped = 0

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Buffer the line of a record."""
        self.write_line(self.format(record))

    def write_line(self, line: str) -> None:
        """Buffer a line and schedule a write; write at once without a loop."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(f"{line}\n".encode())
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._flush()
            return
        self._is_scheduled = True
        loop.call_soon(self._flush_scheduled, loop)

    def close(self) -> None:
        """Write as many buffered lines as the descriptor takes."""
        self._flush()
        super().close()

    def _flush_scheduled(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        if not self._flush():
            self._is_scheduled = True
            loop.call_later(_RETRY_INTERVAL_S, self._flush_scheduled, loop)

    def _flush(self) -> bool:
        """Write the buffered lines until the descriptor would block.

        :returns: whether the buffer is empty.
        """
        while self._partial or self._lines:
            if not self._partial:
                self._partial = self._take_batch()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._partial = b""
                self._lines.clear()
                return True
            self._partial = self._partial[written:]
        return True

    def _take_batch(self) -> bytes:
        size = 0
        lines = []
        while self._lines and size < _BATCH_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        return b"".join(lines)


class RateLimiter:
    """Token bucket for lines of one kind.

    :param kind: names the kind in reports of dropped lines.
    :param lines_per_s: the maximum rate.
    :param burst: the maximum number of lines at once.
    """

    def __init__(self, kind: str, lines_per_s: float, burst: float) -> None:
        self._kind = kind
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._reported_at = self._refilled_at
        self._dropped = 0
        self.dropped_total = 0

    def try_acquire(self) -> bool:
        """Return whether one more line may be written."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        for limiter in _limiters:
            limiter.report_dropped(now)
        if self._tokens < 1:
            self._dropped += 1
            self.dropped_total += 1
            return False
        self._tokens -= 1
        return True

    def report_dropped(self, now: float) -> None:
        """Report the dropped lines, at most once per interval."""
        if self._dropped and now - self._reported_at >= _REPORT_INTERVAL_S:
            warn("lines_dropped", kind=self._kind, lines=self._dropped)
            self._dropped = 0
            self._reported_at = now


_request_limiter = RateLimiter(
    "request", REQUEST_LINES_PER_S, REQUEST_LINES_BURST
)
_member_limiter = RateLimiter("member", MEMBER_LINES_PER_S, MEMBER_LINES_BURST)
_limiters = (_request_limiter, _member_limiter)

#: The handler that `configure` has set up, none before.
_handlers: list[NonBlockingHandler] = []


def count_dropped_lines() -> int:
    """Return the number of lines dropped since the process started."""
    return sum(limiter.dropped_total for limiter in _limiters) + sum(
        handler.dropped
        for handler in standard_logging.getLogger("absl").handlers
        if isinstance(handler, NonBlockingHandler)
    )


def configure(*, verbose: bool) -> None:
    """Send this process's logs to standard output, without blocking.

    :param verbose: log debug events, too.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    os.set_blocking(sys.stdout.fileno(), False)
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(_LineFormatter())
    for logger in (logging.get_absl_logger(), standard_logging.getLogger()):
        logger.handlers = [handler]
    _handlers[:] = [handler]
    logging.get_absl_logger().propagate = False
    for name in ("mode", "asyncio", "burdockdeal"):
        standard_logging.getLogger(name).setLevel(standard_logging.WARNING)


def _quote(value: object) -> str:
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def format_event(event: str, **fields: object) -> str:
    """Format an event as one line.

    :param event: the event's name, in snake_case.
    :param fields: its keys and values; values of None are left out.
    :returns: the line, without a line break.
    """
    pairs = [f"event={event}"]
    pairs += [
        f"{name}={_quote(value)}"
        for name, value in fields.items()
        if value is not None
    ]
    return " ".join(pairs)


def format_traceback(error: BaseException) -> str:
    """Format the innermost frames of an error's traceback.

    :returns: up to four frames as file:line on one line, innermost first.
    """
    frames = traceback.extract_tb(error.__traceback__)[-_TRACE_FRAMES:]
    return " < ".join(
        f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"
        for frame in reversed(frames)
    )


def _log_info(line: str) -> None:
    """Write an event's line at level INFO.

    A log record takes several times as long as the line, and nothing of it
    is needed, so the line goes to the handler directly.
    """
    if not _handlers:
        logging.info(line)
        return
    at = _timestamps.format(time.time())
    for handler in _handlers:
        handler.write_line(f"at={at} level=INFO {line}")


def record(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    if logging.level_info():
        _log_info(format_event(event, **fields))


def record_request(event: str, **fields: object) -> None:
    """Log an event about a single request at level INFO, rate-limited."""
    if logging.level_info() and _request_limiter.try_acquire():
        _log_info(format_event(event, **fields))


def record_member(event: str, **fields: object) -> None:
    """Log an event about a single daemon at level INFO, rate-limited."""
    if logging.level_info() and _member_limiter.try_acquire():
        _log_info(format_event(event, **fields))


def warn(event: str, **fields: object) -> None:
    """Log an event that needs an operator's attention, at level WARNING."""
    logging.warning(format_event(event, **fields))


def debug(event: str, **fields: object) -> None:
    """Log an event for developers at level DEBUG."""
    if logging.level_debug():
        logging.debug(format_event(event, **fields))
