"""The HTTP interface by which operators read and change resources."""

from collections import abc
import dataclasses
import hmac
import re

from aiohttp import web
import msgspec

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import messages
from burdockdeal.configuration import propagation
from burdockdeal.configuration import repository
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.configuration import tree
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.settings import model

#: Maximum bytes of one resource.
MAX_RESOURCE_BYTES = 65_536

#: Seconds that a watch may wait at most.
MAX_WATCH_S = 60.0

_DEFAULT_WATCH_S = 30.0

_ETAG = re.compile(r'^"?(\d+)"?$')
#: Key of the operator's name in an authenticated request.
_OPERATOR = "operator"


def _reply(
    message: object, status: int = 200, generation: int | None = None
) -> web.Response:
    etag = {} if generation is None else {"ETag": f'"{generation}"'}
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
        headers=etag,
    )


def _reply_error(error: errors.BurdockdealError) -> web.Response:
    faults = tuple(str(fault) for fault in getattr(error, "faults", ()))
    generation = getattr(error, "generation", 0)
    change_id = getattr(error, "change_id", "")
    problem = messages.Problem(str(error), faults, generation, change_id)
    return _reply(problem, _STATUS[type(error)])


_STATUS: dict[type[errors.BurdockdealError], int] = {
    errors.ResourceError: 422,
    errors.ConflictError: 409,
    writer.ResourceNotFoundError: 404,
    errors.StoreUnavailableError: 503,
    errors.StoreUncertainError: 504,
    writer.ChangeUncertainError: 504,
    repository.SnapshotSupersededError: 503,
    errors.StoreConflictError: 503,
    errors.StoreBudgetExhaustedError: 503,
}


def make_auth_middleware(
    operators: tuple[model.Operator, ...], open_paths: frozenset[str]
) -> abc.Callable[..., abc.Awaitable[web.StreamResponse]]:
    """Make the middleware that admits only authenticated operators.

    It also turns the errors of the handlers into error responses.

    :param operators: the operators, each with a bearer token.
    :param open_paths: paths that need no token.
    """

    def authenticate(request: web.Request) -> str | None:
        header = request.headers.get("Authorization", "")
        name = None
        for operator in operators:
            expected = f"Bearer {operator.token}"
            if hmac.compare_digest(header.encode(), expected.encode()):
                name = operator.name
        return name

    @web.middleware
    async def require_operator(
        request: web.Request,
        handler: abc.Callable[..., abc.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if request.path not in open_paths:
            operator = authenticate(request)
            if operator is None:
                problem = messages.Problem("an operator's token is needed")
                return _reply(problem, 401)
            request[_OPERATOR] = operator
        try:
            return await handler(request)
        except tuple(_STATUS) as error:
            return _reply_error(error)

    return require_operator


def _read_expected(request: web.Request) -> int | None:
    if request.headers.get("If-None-Match") == "*":
        return 0
    header = request.headers.get("If-Match")
    if header is None:
        return None
    match = _ETAG.match(header)
    if match is None:
        fault = errors.FieldViolation("If-Match", "a generation is expected")
        raise errors.ResourceError(request.path, (fault,))
    return int(match.group(1))


def _make_document(resource: resources.Resource) -> messages.Document:
    return messages.Document(
        kind=resource.kind,
        name=resource.name,
        generation=resource.generation,
        changed_by=resource.changed_by,
        changed_at_ms=resource.changed_at_ms,
        spec=msgspec.Raw(codec.encode(resource.spec)),
    )


def _read_number(
    request: web.Request, name: str, default: float, maximum: float
) -> float:
    text = request.query.get(name, str(default))
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number <= maximum:
        fault = errors.FieldViolation(
            name, f"a number from 0 to {maximum:g} is expected"
        )
        raise errors.ResourceError(request.path, (fault,))
    return number


async def _read_body(request: web.Request, key: state.Key) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        fault = errors.FieldViolation(
            "", f"holds more than {MAX_RESOURCE_BYTES} bytes"
        )
        raise errors.ResourceError(str(key), (fault,)) from error


async def _read_spec(request: web.Request, key: state.Key) -> resources.Spec:
    try:
        raw = msgspec.json.decode(await _read_body(request, key))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        fault = errors.FieldViolation("", f"not JSON: {error}")
        raise errors.ResourceError(str(key), (fault,)) from error
    return resources.validate_spec(key.kind, key.name, raw)


def _make_key(request: web.Request) -> state.Key:
    return state.Key(request.match_info["kind"], request.match_info["name"])


def add_routes(
    app: web.Application,
    active: active_configuration.ActiveConfiguration,
    append: writer.Append,
    query_domains: propagation.QueryDomains,
    new_id: abc.Callable[[], str],
    on_decided: abc.Callable[
        [writer.ChangeRequest, writer.Accepted | errors.BurdockdealError], None
    ],
) -> None:
    """Add the resource interface to the operators' application.

    :param active: the configuration that this daemon applies.
    :param append: appends a change to the log.
    :param query_domains: queries what each failure domain applies.
    :param new_id: makes the ids of changes.
    :param on_decided: called with each request and its result or error.
    """

    async def submit(
        request: web.Request, make_spec: abc.Callable[[], abc.Awaitable]
    ) -> writer.Accepted:
        change_request = writer.ChangeRequest(
            change_id=new_id(),
            operator=request[_OPERATOR],
            key=_make_key(request),
            spec=None,
            expected=None,
            is_put=request.method == "PUT",
        )
        try:
            change_request = dataclasses.replace(
                change_request,
                spec=await make_spec(),
                expected=_read_expected(request),
            )
            accepted = await append(change_request)
        except tuple(_STATUS) as error:
            on_decided(change_request, error)
            raise
        on_decided(change_request, accepted)
        return accepted

    async def put(request: web.Request) -> web.Response:
        key = _make_key(request)
        accepted = await submit(request, lambda: _read_spec(request, key))
        resource = active.configuration.resources.get(key)
        if resource is None or resource.generation != accepted.generation:
            # The change was accepted but has since been superseded.
            problem = messages.Problem(
                f"{key} was superseded", generation=accepted.generation
            )
            return _reply(problem, 409)
        return _reply(_make_document(resource), 200, accepted.generation)

    async def delete(request: web.Request) -> web.Response:
        async def no_spec() -> None:
            return None

        accepted = await submit(request, no_spec)
        return _reply(messages.Problem("", (), accepted.generation))

    async def get(request: web.Request) -> web.Response:
        key = _make_key(request)
        resource = active.configuration.resources.get(key)
        if resource is None:
            return _reply(messages.Problem(f"{key} does not exist"), 404)
        etag = f'"{resource.generation}"'
        status = tree.evaluate_status(
            resource.generation, await query_domains()
        )
        if request.headers.get("If-None-Match") == etag and all(
            condition.status for condition in status.conditions
        ):
            return web.Response(status=304, headers={"ETag": etag})
        document = dataclasses.replace(_make_document(resource), status=status)
        return _reply(document, 200, resource.generation)

    async def get_all(request: web.Request) -> web.Response:
        kind = request.match_info.get("kind")
        if kind is not None and kind not in resources.KINDS:
            return _reply(messages.Problem(f"no such kind: {kind}"), 404)
        listed = active.configuration.resources
        documents = tuple(
            _make_document(listed[key])
            for key in sorted(listed)
            if kind is None or key.kind == kind
        )
        return _reply(messages.Documents(documents))

    async def watch(request: web.Request) -> web.Response:
        after = int(_read_number(request, "after", active.revision, 2**53))
        wait_s = _read_number(request, "wait_s", _DEFAULT_WATCH_S, MAX_WATCH_S)
        await active.wait_for_revision(after, wait_s)
        page = active.list_changes(after)
        return _reply(
            messages.WatchResponse(
                page.revision, not page.needs_snapshot, page.changes
            )
        )

    app.router.add_get("/v1/watch", watch)
    app.router.add_get("/v1/resources", get_all)
    app.router.add_get("/v1/resources/{kind}", get_all)
    app.router.add_get("/v1/resources/{kind}/{name}", get)
    app.router.add_put("/v1/resources/{kind}/{name}", put)
    app.router.add_delete("/v1/resources/{kind}/{name}", delete)
