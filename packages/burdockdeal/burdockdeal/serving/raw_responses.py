"""Responses to input that could not be parsed as a request."""

from aiohttp import http_writer
from aiohttp import web
import multidict


async def write_final_response(
    writer: http_writer.StreamWriter, response: web.Response
) -> None:
    """Write the last response of a connection without a request object.

    :param response: the response, with its whole body.
    """
    body = bytes(response.body or b"")
    head = multidict.CIMultiDict(response.headers)
    head["Content-Length"] = str(len(body))
    head["Connection"] = "close"
    status = f"HTTP/1.1 {response.status} {response.reason}"
    await writer.write_headers(status, head)
    await writer.write_eof(body)
