"""The end of a caller's connection before its requests are answered."""

import asyncio
import enum
import socket
import struct

#: Makes a socket that is closed reset its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


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


def reset_after_writes(transport: asyncio.Transport) -> None:
    """Reset a connection once what was written to it is sent."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
    )
    transport.close()
