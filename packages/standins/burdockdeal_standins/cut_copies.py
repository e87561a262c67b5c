"""Answers of which a faulty upstream sends a part once more."""

from collections import abc

#: The bodies of the answers, by name.
BODIES = {"copied": b"copied body", "own": b"the body of its own"}


def _frame_by_length(body: bytes) -> tuple[str, bytes]:
    return f"Content-Length: {len(body)}", body


def _frame_by_chunks(body: bytes) -> tuple[str, bytes]:
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (body[:half], body[half:], b"")
    )
    return "Transfer-Encoding: chunked", chunks


#: Returns the header that frames a body, and the body as it is sent.
Frame = abc.Callable[[bytes], tuple[str, bytes]]

FRAMINGS: dict[str, Frame] = {
    "length": _frame_by_length,
    "chunks": _frame_by_chunks,
}

#: Whether the id comes first in an answer, last, or not at all.
HEADER_ORDERS = ("id first", "id last", "no id")


def build_answer(
    status: str, request_id: str, name: str, order: str, framing: str
) -> bytes:
    """Build an answer as an upstream sends it.

    :param status: status and reason.
    :param name: of its body, see `BODIES`.
    """
    frame, body = FRAMINGS[framing](BODIES[name])
    fields = [
        f"Attempt-Id: {request_id}",
        f"Response-Signature: sig-{name}",
        "Server-Load: 0,0,9,100",
        frame,
    ]
    if order == "id last":
        fields.reverse()
    elif order == "no id":
        del fields[0]
    head = "\r\n".join([f"HTTP/1.1 {status}", *fields, "", ""])
    return head.encode() + body
