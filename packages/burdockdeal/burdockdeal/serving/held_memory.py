"""How much memory a request holds until it is answered, estimated."""

from aiohttp import streams

#: Bytes of a request's body that are buffered for the handler.
READ_BUFFER_BYTES = 65536

#: What is read ahead of a consumer that is held, of a body or a response:
#: aiohttp stops reading at twice the size of its buffer.
WINDOW_BYTES = 2 * READ_BUFFER_BYTES

#: The objects of one request: its head, task, timers and response.
REQUEST_BYTES = 8192

#: The objects of one connection, with or without a request.
CONNECTION_BYTES = 8192

#: The position of one boundary between chunks.
_BOUNDARY_BYTES = 48


def count_consumed_bytes(payload: streams.StreamReader) -> int:
    """Return the bytes of a body that the handler has taken."""
    if payload is streams.EMPTY_PAYLOAD:
        return 0
    # aiohttp has no public way to read the size of what is buffered.
    return payload.total_bytes - payload._size


def break_off_body(payload: streams.StreamReader, error: Exception) -> None:
    """End a body with an error, and free what is buffered of it.

    What refers to it may be collected much later.

    :param error: raised by each further read, so that the rest of the body is
        never taken for its end.
    """
    if payload is streams.EMPTY_PAYLOAD:
        return
    payload.set_exception(error)
    payload._buffer.clear()
    payload._size = payload._buffer_offset = 0
    if payload._http_chunk_splits:
        payload._http_chunk_splits.clear()


def measure_body(
    payload: streams.StreamReader, length: int | None, replay_bytes: int
) -> int:
    """Return the bytes that a request's body holds, or was promised.

    :param length: the body's length in bytes, None if it is not known.
    :param replay_bytes: the size in bytes up to which a body of known length
        is buffered until the request is answered.
    """
    if payload is streams.EMPTY_PAYLOAD:
        return 0
    boundaries = payload._http_chunk_splits or ()
    unconsumed = payload._size + _BOUNDARY_BYTES * len(boundaries)
    if length is not None and length <= replay_bytes:
        return length + unconsumed
    in_flight = min(count_consumed_bytes(payload), WINDOW_BYTES)
    return unconsumed + in_flight
