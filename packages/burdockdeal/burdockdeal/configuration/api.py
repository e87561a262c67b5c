"""The operators' resource interface."""

from collections import abc
import dataclasses
import hmac
import re

from aiohttp import web
import msgspec

from burdockdeal.configuration import archive
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import spread
from burdockdeal.configuration import standing as in_force
from burdockdeal.configuration import state
from burdockdeal.configuration import tree
from burdockdeal.configuration import writer
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.settings import model

#: Bytes of one resource at most.
RESOURCE_LIMIT_BYTES = 65_536

#: A watch waits no longer.
WATCH_LIMIT_S = 60.0

_DEFAULT_WAIT_S = 30.0

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
    change_id = getattr(error, "change_id", "")
    problem = messages.Problem(str(error), faults, generation, change_id)
    return _reply(problem, _STATUS[type(error)])


_STATUS: dict[type[errors.BurdockdealError], int] = {
    errors.ResourceError: 422,
    errors.ConflictError: 409,
    writer.AbsentError: 404,
    errors.StoreUnavailableError: 503,
    errors.StoreUncertainError: 504,
    writer.ChangeUncertainError: 504,
    archive.SnapshotGoneError: 503,
    errors.StoreConflictError: 503,
    errors.StoreBudgetExhaustedError: 503,
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
        fault = errors.FieldViolation("If-Match", "a generation is expected")
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


def _read_number(
    request: web.Request, name: str, default: float, most: float
) -> float:
    given = request.query.get(name, str(default))
    try:
        number = float(given)
    except ValueError:
        number = -1.0
    if not 0 <= number <= most:
        fault = errors.FieldViolation(
            name, f"a number from 0 to {most:g} is expected"
        )
        raise errors.ResourceError(request.path, (fault,))
    return number


async def _read_body(request: web.Request, key: state.Key) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        fault = errors.FieldViolation(
            "", f"holds more than {RESOURCE_LIMIT_BYTES} bytes"
        )
        raise errors.ResourceError(str(key), (fault,)) from error


async def _read_spec(request: web.Request, key: state.Key) -> resources.Spec:
    try:
        raw = msgspec.json.decode(await _read_body(request, key))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        fault = errors.FieldViolation("", f"not JSON: {error}")
        raise errors.ResourceError(str(key), (fault,)) from error
    return resources.check_spec(key.kind, key.name, raw)


def _key_of(request: web.Request) -> state.Key:
    return state.Key(request.match_info["kind"], request.match_info["name"])


def add_routes(
    app: web.Application,
    standing: in_force.Standing,
    append: writer.Append,
    ask_domains: spread.AskDomains,
    new_id: abc.Callable[[], str],
    judged: abc.Callable[
        [writer.Request, writer.Accepted | errors.BurdockdealError], None
    ],
) -> None:
    """Add the resource interface to the operators' application.

    :param new_id: makes the ids of changes.
    :param judged: told how every change ended.
    """

    async def decide(
        request: web.Request, make_spec: abc.Callable[[], abc.Awaitable]
    ) -> writer.Accepted:
        wanted = writer.Request(
            change_id=new_id(),
            operator=request[_OPERATOR],
            key=_key_of(request),
            spec=None,
            expected=None,
            is_put=request.method == "PUT",
        )
        try:
            wanted = dataclasses.replace(
                wanted,
                spec=await make_spec(),
                expected=_read_expected(request),
            )
            accepted = await append(wanted)
        except tuple(_STATUS) as error:
            judged(wanted, error)
            raise
        judged(wanted, accepted)
        return accepted

    async def put(request: web.Request) -> web.Response:
        key = _key_of(request)
        accepted = await decide(request, lambda: _read_spec(request, key))
        resource = standing.configuration.resources.get(key)
        if resource is None or resource.generation != accepted.generation:
            # Accepted, and since then superseded by another change.
            problem = messages.Problem(
                f"{key} was superseded", generation=accepted.generation
            )
            return _reply(problem, 409)
        return _reply(_document(resource), 200, accepted.generation)

    async def delete(request: web.Request) -> web.Response:
        async def no_spec() -> None:
            return None

        accepted = await decide(request, no_spec)
        return _reply(messages.Problem("", (), accepted.generation))

    async def get(request: web.Request) -> web.Response:
        key = _key_of(request)
        resource = standing.configuration.resources.get(key)
        if resource is None:
            return _reply(messages.Problem(f"{key} does not exist"), 404)
        etag = f'"{resource.generation}"'
        status = tree.judge(resource.generation, await ask_domains())
        if request.headers.get("If-None-Match") == etag and all(
            condition.status for condition in status.conditions
        ):
            return web.Response(status=304, headers={"ETag": etag})
        document = dataclasses.replace(_document(resource), status=status)
        return _reply(document, 200, resource.generation)

    async def get_all(request: web.Request) -> web.Response:
        kind = request.match_info.get("kind")
        if kind is not None and kind not in resources.KINDS:
            return _reply(messages.Problem(f"no such kind: {kind}"), 404)
        listed = standing.configuration.resources
        documents = tuple(
            _document(listed[key])
            for key in sorted(listed)
            if kind is None or key.kind == kind
        )
        return _reply(messages.Documents(documents))

    async def watch(request: web.Request) -> web.Response:
        after = int(_read_number(request, "after", standing.revision, 2**53))
        wait_s = _read_number(
            request, "wait_s", _DEFAULT_WAIT_S, WATCH_LIMIT_S
        )
        await standing.wait(after, wait_s)
        page = standing.page(after)
        return _reply(
            messages.Watched(
                page.revision, not page.needs_snapshot, page.changes
            )
        )

    app.router.add_get("/v1/watch", watch)
    app.router.add_get("/v1/resources", get_all)
    app.router.add_get("/v1/resources/{kind}", get_all)
    app.router.add_get("/v1/resources/{kind}/{name}", get)
    app.router.add_put("/v1/resources/{kind}/{name}", put)
    app.router.add_delete("/v1/resources/{kind}/{name}", delete)
