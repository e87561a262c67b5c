"""Why the connection of a caller ended before its requests were answered."""

import asyncio
import enum


class Cause(enum.StrEnum):
    """What ended a connection."""

    CALLER_GONE = "caller_gone"
    RESPONSE_CUT = "response_cut"
    LAST_RESPONSE = "last_response"
    SLOW_READER = "slow_reader"
    MEMORY_LIMIT = "memory_limit"
    DAEMON_STOPPED = "daemon_stopped"


def find_cause(error: asyncio.CancelledError) -> Cause | None:
    """Return why a request was cancelled.

    :param error: raised by a task that was cancelled with a cause as message.
    :returns: the cause, None if it was not cancelled by its connection.
    """
    for argument in error.args:
        if isinstance(argument, Cause):
            return argument
    return None
