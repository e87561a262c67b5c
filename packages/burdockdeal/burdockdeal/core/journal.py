"""Structured logs: one line of key=value pairs an event."""

import datetime
import json
import logging as standard_logging
import pathlib
import traceback

from absl import flags
from absl import logging

_TRACE_FRAMES = 4


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
                where=trace(error) if error else None,
            )
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        at = moment.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
        return f"at={at} level={record.levelname} {message}"


def install(*, verbose: bool) -> None:
    """Send the logs of this process to standard error.

    :param verbose: log every request, not only the refused ones.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    logging.get_absl_handler().setFormatter(_LineFormatter())
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


def trace(error: BaseException) -> str:
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


def warn(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    logging.warning(format_event(event, **fields))


def debug(event: str, **fields: object) -> None:
    """Log an event that matters to developers only."""
    if logging.level_debug():
        logging.debug(format_event(event, **fields))
