"""How long a response is held back before any of it is relayed.

The end of one of unknown length was awaited for half a second, also if no
request stood behind it.
"""

import asyncio

import multidict
import pytest

from burdockdeal.serving import messages
from burdockdeal.serving import short_responses
from burdockdeal.settings import model
from burdockdeal_standins import virtual_time


class _Stream:
    """A body of which some bytes are there, and which doesn't end."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    async def readany(self) -> bytes:
        content, self._content = self._content, b""
        if not content:
            await asyncio.Event().wait()
        return content

    def at_eof(self) -> bool:
        return False


@pytest.mark.parametrize("content", [b"", b"first"])
@pytest.mark.parametrize(
    ("holds_back", "expected_s"),
    [(False, 0.0), (True, short_responses.UNKNOWN_LENGTH_WAIT_S)],
)
def test_a_body_of_unknown_length_is_held_back_for_those_behind_it(
    holds_back: bool, expected_s: float, content: bytes
) -> None:
    response = messages.Response(
        200, "OK", multidict.CIMultiDict(), _Stream(content)
    )

    async def read() -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        start = await short_responses.read_start(
            response, model.Limits(), holds_back=holds_back
        )
        assert start == short_responses.BodyStart(content, is_whole=False)
        assert loop.time() - started_at == pytest.approx(expected_s)

    virtual_time.run(read())
