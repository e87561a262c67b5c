"""Bytes of an earlier answer in front of the answer to a request.

A faulty upstream sends an answer once more, late, and breaks it off at any
byte. What follows on the connection is the answer to the next request. If
both were read as one answer, a request that has failed could get the status
of one that has succeeded.
"""

import asyncio
import dataclasses

import aiohttp
import multidict
import pytest

from burdockdeal.core import errors
from burdockdeal.serving import bodies
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages
from burdockdeal.settings import model
from burdockdeal_standins import cut_copies
from burdockdeal_standins import raw_upstream

#: The id that the upstream echoes, as on the platform.
_ID = "Attempt-Id"

_OTHER_ID, _OWN_ID = "0123456789abcdef", "fedcba9876543210"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller would get."""

    status: int
    signature: str
    body: bytes


async def fetch(
    session: aiohttp.ClientSession, authority: str, request_id: str
) -> Outcome | None:
    """Send a request; return None for an answer that is not taken."""
    outbound = messages.OutboundRequest(
        "GET",
        f"/{request_id}",
        multidict.CIMultiDict(),
        bodies.Body(None, b"", model.Limits()),
    )
    try:
        async with forwarding.open_response(
            session, authority, outbound, {}, remaining_s=2.0, expect=False
        ) as response:
            if response.headers.get(_ID) != request_id:
                return None
            body = b""
            while chunk := await response.content.readany():
                body += chunk
            signature = response.headers["Response-Signature"]
            return Outcome(response.status, signature, body)
    except (errors.MayHaveRunError, aiohttp.ClientError):
        return None


class CopyingUpstream:
    """Answers a request, and puts a part of a copy before the next answer.

    :param copied: the answer of which a part is sent once more.
    :param answer: the answer to the next request.
    :param when: when the part arrives.
    """

    def __init__(self, copied: bytes, answer: bytes, when: str) -> None:
        self._copied = copied
        self._answer = answer
        self._when = when
        self.size = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        part = self._copied[: self.size]
        if self._when == "with the answer before":
            writer.write(self._copied + part)
        else:
            writer.write(self._copied)
        if self._when == "before the request":
            await asyncio.sleep(0)
            writer.write(part)
        await reader.readuntil(b"\r\n\r\n")
        if self._when == "after the request":
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.001)
        if self._when == "with the answer":
            writer.write(part + self._answer)
        else:
            writer.write(self._answer)
        await reader.read()


@pytest.mark.parametrize(
    "when",
    [
        "with the answer before",
        "before the request",
        "after the request",
        "with the answer",
    ],
)
@pytest.mark.parametrize("framing", cut_copies.FRAMINGS)
@pytest.mark.parametrize("order", cut_copies.HEADER_ORDERS)
@pytest.mark.parametrize(
    "statuses",
    [("200 OK", "500 Internal Server Error"), ("503 Busy", "200 OK")],
)
async def test_a_copy_that_ends_anywhere_changes_no_answer(
    statuses: tuple[str, str], order: str, framing: str, when: str
) -> None:
    """Guards against one answer made of two, wherever the copy ends."""
    copied_status, status = statuses
    copied = cut_copies.build_answer(
        copied_status, _OTHER_ID, "copied", order, framing
    )
    answer = cut_copies.build_answer(
        status, _OWN_ID, "own", "id last", framing
    )
    expected = Outcome(int(status[:3]), "sig-own", cut_copies.BODIES["own"])
    wrong: dict[int, Outcome] = {}
    taken = 0
    async with raw_upstream.run_upstream() as upstream:
        copying = CopyingUpstream(copied, answer, when)
        upstream.handler = copying.handle
        for size in range(len(copied) + 1):
            copying.size = size
            async with forwarding.build_session(16_384) as session:
                await fetch(session, upstream.authority, _OTHER_ID)
                outcome = await fetch(session, upstream.authority, _OWN_ID)
            if outcome not in (None, expected):
                wrong[size] = outcome
            taken += outcome == expected
    assert not wrong
    # At least without a copy, the answer is taken.
    assert taken or when == "before the request"
