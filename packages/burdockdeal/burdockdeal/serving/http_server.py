"""HTTP server whose every error response carries a verdict."""

from collections import abc
import http

from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.serving import forwarding
from burdockdeal.serving import header_codec

#: Characters of an error's text that are logged.
_MAX_LOGGED_CHARS = 300

BuildErrorResponse = abc.Callable[[errors.CallError, str], web.Response]
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


def _to_call_error(exc: BaseException | None, status: int) -> errors.CallError:
    if isinstance(exc, errors.CallError):
        return exc
    if isinstance(exc, codec.MalformedError):
        return errors.NotRunError(verdict.Reason.MALFORMED, str(exc))
    if isinstance(exc, forwarding.TruncatedResponseError):
        return errors.RanError(exc.reason, str(exc))
    if isinstance(exc, http_exceptions.LineTooLong):
        return errors.NotRunError(verdict.Reason.HEADER_TOO_LARGE)
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return errors.NotRunError(verdict.Reason.MALFORMED)
    return errors.MayHaveRunError(verdict.Reason.INTERNAL)


def respond_to_error(
    exc: BaseException | None,
    *,
    status: int = http.HTTPStatus.INTERNAL_SERVER_ERROR,
    message: str | None = None,
    build_error_response: BuildErrorResponse = (
        header_codec.DEFAULT.build_error_response
    ),
) -> web.Response:
    """Log a request that could not be handled and build its response.

    :param exc: the exception, None if aiohttp gives only a message.
    :param status: the status that aiohttp would respond with.
    :param message: aiohttp's text, logged if there is no exception.
    :param build_error_response: builds the response that reports an error.
    :returns: a response with a verdict.
    """
    error = _to_call_error(exc, status)
    text = _describe(exc, message)
    event_log.warn(
        "request_failed",
        reason=error.reason,
        error=text[:_MAX_LOGGED_CHARS] if text else None,
        where=event_log.format_traceback(exc) if exc else None,
    )
    return build_error_response(error, "")


def _describe(exc: BaseException | None, message: str | None) -> str | None:
    """Describe an error for the log, without what a caller has sent."""
    if isinstance(exc, http_exceptions.HttpProcessingError):
        # The parser's errors quote the line, which may hold a caller's key.
        return type(exc).__name__
    return repr(exc) if exc else message


class _Protocol(web_protocol.RequestHandler):
    """Responds with a verdict to requests that could not be handled."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        response = respond_to_error(exc, status=status, message=message)
        response.force_close()
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        return response


class _Request(web.BaseRequest):
    """A request that closes its connection once the server is closing."""

    @property
    def keep_alive(self) -> bool:
        server = self.protocol._manager
        closing = server is None or server.closing
        return not closing and not self._message.should_close


class PeerServer(web.Server):
    """The low-level server for the requests of other daemons.

    :param handler: handles each request.
    :param header_bytes: maximum length in bytes of a request line or field.
    :param idle_s: seconds after which an idle connection is closed.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        header_bytes: int,
        idle_s: float,
    ) -> None:
        super().__init__(
            self._count_active(handler),
            request_factory=self._build_request,
            handler_cancellation=True,
        )
        self._options = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": idle_s,
            "max_line_size": header_bytes,
            "max_field_size": header_bytes,
        }
        self._active = 0
        #: Whether each connection closes after its next response.
        self.closing = False

    def begin_closing(self) -> None:
        """Let each connection close after its next response."""
        self.closing = True

    def __call__(self) -> web_protocol.RequestHandler:
        """Build the protocol of one connection."""
        return _Protocol(self, loop=self._loop, **self._options)

    @property
    def active_count(self) -> int:
        """Number of requests in progress and of responses not fully sent."""
        return self._active + sum(
            protocol.transport is not None
            and protocol.transport.get_write_buffer_size() > 0
            for protocol in self.connections
        )

    def _count_active(self, handler: Handler) -> Handler:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            self._active += 1
            try:
                return await handler(request)
            finally:
                self._active -= 1

        return handle

    def _build_request(self, message, payload, protocol, writer, task):
        return _Request(message, payload, protocol, writer, task, self._loop)
