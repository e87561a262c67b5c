"""Answers that are written without a request to answer."""

from aiohttp import http_writer
from aiohttp import web
import multidict


async def write_plain(
    writer: http_writer.StreamWriter, response: web.Response
) -> None:
    """Write an answer to bytes that are no request, and end.

    :param response: its body is whole.
    """
    body = bytes(response.body or b"")
    head = multidict.CIMultiDict(response.headers)
    head["Content-Length"] = str(len(body))
    head["Connection"] = "close"
    status = f"HTTP/1.1 {response.status} {response.reason}"
    await writer.write_headers(status, head)
    await writer.write_eof(body)
