"""The client side of calls to other daemons."""

import asyncio

import aiohttp
import multidict
import pytest

from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages
from burdockdeal.serving import peers
from burdockdeal.settings import model
from burdockdeal_standins import raw_upstream


class EmptyBody:
    """The body of a request without one."""

    is_streamed = False

    def open(self) -> None:
        """Return nothing to send."""


async def test_the_rest_of_a_refusal_is_not_awaited() -> None:
    """Guards against a call that waits for a peer that stops in a refusal.

    Its head has said that the call did not run, so that it can go elsewhere.
    """
    report = codec.encode_compact(
        messages.OwnerReport(
            verdict=verdict.Verdict.NOT_RUN,
            load=load_report.LoadReport(0, 0, 1, 1.0),
            reason=verdict.Reason.BUSY,
            clock=1.0,
        )
    ).decode()

    async def refuse_in_part(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            f"HTTP/1.1 503 Busy\r\n{headers.REPORT}: {report}\r\n"
            "Content-Length: 100\r\n\r\nhalf".encode()
        )
        await reader.read()

    loop = asyncio.get_running_loop()
    async with (
        raw_upstream.run_upstream() as peer,
        forwarding.build_session(8192) as session,
    ):
        peer.handler = refuse_in_part
        opener = peers.make_peer_opener(
            session,
            "token",
            loop.time,
            lambda *report: None,
            lambda *clock: None,
        )
        send = messages.Send(
            request=call.Call("r1", "bookings", "", loop.time() + 30),
            outbound=messages.OutboundRequest(
                "GET", "/", multidict.CIMultiDict(), EmptyBody()
            ),
            daemon="d1",
            peer=model.Address("127.0.0.1", peer.port),
            incarnation=1,
            attempt=1,
        )
        async with asyncio.timeout(5):
            with pytest.raises(errors.NotRunError) as caught:
                async with opener(send):
                    pass
    assert caught.value.reason is verdict.Reason.BUSY
    assert not isinstance(caught.value, aiohttp.ClientError)
