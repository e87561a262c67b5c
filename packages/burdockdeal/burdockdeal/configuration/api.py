"""The operators' resource interface."""

from collections import abc
import dataclasses
import hmac
import re

from aiohttp import web
import msgspec

from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import service
from burdockdeal.configuration import spread
from burdockdeal.configuration import state
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.settings import model

#: Bytes of one resource at most.
RESOURCE_LIMIT_BYTES = 65_536

_ETAG = re.compile(r'^"?(\d+)"?$')
_OPERATOR = "operator"


def _reply(
    message: object, status: int = 200, generation: int | None = None
) -> web.Response:
    extra = {} if generation is None else {"ETag": f'"{generation}"'}
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
        headers=extra,
    )


def _problem_of(error: errors.BurdockdealError) -> web.Response:
    faults = tuple(str(fault) for fault in getattr(error, "faults", ()))
    generation = getattr(error, "generation", 0)
    problem = messages.Problem(str(error), faults, generation)
    return _reply(problem, _STATUS[type(error)])


_STATUS: dict[type[errors.BurdockdealError], int] = {
    errors.ResourceError: 422,
    errors.ConflictError: 409,
    errors.StoreUnavailableError: 503,
    errors.StoreUncertainError: 504,
    errors.StoreBudgetError: 503,
}


def make_guard(
    operators: tuple[model.Operator, ...], open_paths: frozenset[str]
) -> abc.Callable[..., abc.Awaitable[web.StreamResponse]]:
    """Make the middleware that lets only operators in.

    :param open_paths: paths that need no token.
    """

    def find(request: web.Request) -> str | None:
        given = request.headers.get("Authorization", "")
        found = None
        for operator in operators:
            wanted = f"Bearer {operator.token}"
            if hmac.compare_digest(given.encode(), wanted.encode()):
                found = operator.name
        return found

    @web.middleware
    async def guard(
        request: web.Request,
        handler: abc.Callable[..., abc.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        if request.path not in open_paths:
            operator = find(request)
            if operator is None:
                problem = messages.Problem("an operator's token is needed")
                return _reply(problem, 401)
            request[_OPERATOR] = operator
        try:
            return await handler(request)
        except tuple(_STATUS) as error:
            return _problem_of(error)

    return guard


def _read_expected(request: web.Request) -> int | None:
    if request.headers.get("If-None-Match") == "*":
        return 0
    given = request.headers.get("If-Match")
    if given is None:
        return None
    found = _ETAG.match(given)
    if found is None:
        fault = errors.Fault("If-Match", "a generation is expected")
        raise errors.ResourceError(request.path, (fault,))
    return int(found.group(1))


def _document(resource: resources.Resource) -> messages.Document:
    return messages.Document(
        kind=resource.kind,
        name=resource.name,
        generation=resource.generation,
        changed_by=resource.changed_by,
        changed_at_ms=resource.changed_at_ms,
        spec=msgspec.Raw(codec.encode(resource.spec)),
    )


def add_routes(
    app: web.Application,
    standing: service.Standing,
    append: writer.Append,
    ask_domains: spread.AskDomains,
) -> None:
    """Add the resource interface to the operators' application."""

    def key_of(request: web.Request) -> state.Key:
        return state.Key(
            request.match_info["kind"], request.match_info["name"]
        )

    async def read_spec(request: web.Request) -> resources.Spec:
        key = key_of(request)
        try:
            raw = msgspec.json.decode(await request.read())
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            fault = errors.Fault("", f"not JSON: {error}")
            raise errors.ResourceError(str(key), (fault,)) from error
        return resources.check_spec(key.kind, key.name, raw)

    async def put(request: web.Request) -> web.Response:
        spec = await read_spec(request)
        change = await append(
            request[_OPERATOR], key_of(request), spec, _read_expected(request)
        )
        resource = standing.configuration.resources.get(key_of(request))
        if resource is None or resource.generation != change.revision:
            problem = messages.Problem(
                "superseded", generation=change.revision
            )
            return _reply(problem, 409)
        return _reply(_document(resource), 200, change.revision)

    async def delete(request: web.Request) -> web.Response:
        key = key_of(request)
        if key not in standing.configuration.resources:
            return _reply(messages.Problem(f"{key} does not exist"), 404)
        change = await append(
            request[_OPERATOR], key, None, _read_expected(request)
        )
        return _reply(messages.Problem("", (), change.revision))

    async def get(request: web.Request) -> web.Response:
        key = key_of(request)
        resource = standing.configuration.resources.get(key)
        if resource is None:
            return _reply(messages.Problem(f"{key} does not exist"), 404)
        status = spread.judge(resource.generation, await ask_domains())
        document = dataclasses.replace(_document(resource), status=status)
        return _reply(document, 200, resource.generation)

    async def get_all(request: web.Request) -> web.Response:
        kind = request.match_info.get("kind")
        listed = standing.configuration.resources
        documents = tuple(
            _document(listed[key])
            for key in sorted(listed)
            if kind is None or key.kind == kind
        )
        return _reply(messages.Documents(documents))

    app.router.add_get("/v1/resources", get_all)
    app.router.add_get("/v1/resources/{kind}", get_all)
    app.router.add_get("/v1/resources/{kind}/{name}", get)
    app.router.add_put("/v1/resources/{kind}/{name}", put)
    app.router.add_delete("/v1/resources/{kind}/{name}", delete)
