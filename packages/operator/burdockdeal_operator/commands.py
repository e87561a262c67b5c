"""The subcommands of burdockctl."""

import asyncio
from collections import abc
import dataclasses
import sys
import time
from urllib import parse

from burdockdeal.audit import messages as audit
from burdockdeal.configuration import messages
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.daemon import messages as daemon
from burdockdeal.settings import loader
from burdockdeal_operator import client
from burdockdeal_operator import exit_codes
from burdockdeal_operator import explanation
from burdockdeal_operator import rendering
from burdockdeal_operator import resource_files

_WATCH_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of `check` for one file.

    :param kind: ``settings`` or ``resources``.
    :param faults: one line for each violation.
    """

    file: str
    kind: str
    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationResult:
    """A resource as `declare` or `delete` left it.

    :param resource: kind and name, as Rank/tracking.
    :param generation: its new generation.
    """

    resource: str
    generation: int


def _fail(code: exit_codes.ExitCode, *lines: str) -> None:
    for line in lines:
        print(f"burdockctl: {line}", file=sys.stderr)
    sys.exit(code)


def _render_explanation(explained: explanation.Explanation) -> str:
    return "\n".join([*map(str, explained.steps), f"cause: {explained.cause}"])


def _run_command(command: abc.Coroutine[None, None, object]) -> object:
    """Run a command; on an error, print it and exit with its code."""
    try:
        return asyncio.run(command)
    except client.RefusedError as error:
        code = exit_codes.BY_HTTP_STATUS.get(
            error.status, exit_codes.ExitCode.REFUSED
        )
        problem = error.problem
        lines = problem.faults or (problem.error,)
        if problem.change_id:
            advice = f"look up change {problem.change_id} in the audit trail"
            lines = (*lines, advice)
        _fail(code, *lines)
    except client.UnreachableError as error:
        _fail(exit_codes.ExitCode.UNREACHABLE, str(error))
    except errors.ValidationError as error:
        _fail(
            exit_codes.ExitCode.REFUSED,
            *(f"{error.subject}: {fault}" for fault in error.faults),
        )
    except KeyboardInterrupt:
        _fail(exit_codes.ExitCode.NOT_IN_FORCE, "interrupted")
    return None


def _is_in_force(document: messages.Document) -> bool:
    status = document.status
    return status is not None and all(
        condition.status for condition in status.conditions
    )


class Commands:
    """Declare resources and see their status.

    Every command takes --address HOST:PORT, the operator interface of any
    daemon (or the variable BURDOCKDEAL_ADDRESS), --token TOKEN (preferably the
    variable BURDOCKDEAL_TOKEN, which keeps it out of the list of
    processes) and --output text|json.

    Exit codes: 0 success, 1 not in force in time, 2 usage error, 3 refused,
    4 conflict with another change, 5 not found, 6 unreachable or
    unavailable, 7 wrong token.

    A first session: `check` the files, `declare` one with --wait, `get`
    or `list` the resources, `status` for the fleet, `audit` for the trail.

    :param address: host:port of a daemon's operator interface.
    :param token: the operator's token.
    :param output: text or json.
    """

    def __init__(self, *, address: str, token: str, output: str) -> None:
        self._address = address
        self._token = token
        self._output = output

    def _get_target(self) -> client.Target:
        if not self._address:
            _fail(
                exit_codes.ExitCode.USAGE,
                "give --address or BURDOCKDEAL_ADDRESS",
            )
        if not self._token:
            _fail(
                exit_codes.ExitCode.USAGE, "give --token or BURDOCKDEAL_TOKEN"
            )
        return client.Target(self._address, self._token)

    def _print(
        self, message: object, render: abc.Callable[[object], str]
    ) -> None:
        if self._output == "json":
            print(codec.encode(message).decode())
        else:
            print(render(message))

    def check(self, *paths: str) -> None:
        """Check settings and resource files without sending anything.

        :param paths: the files; a file with a `listen` field is checked as
            a daemon's settings, any other as resources.
        """
        if not paths:
            _fail(exit_codes.ExitCode.USAGE, "give at least one file")
        results = tuple(map(_check_file, map(str, paths)))
        self._print(results, _render_check_results)
        if any(result.faults for result in results):
            sys.exit(exit_codes.ExitCode.REFUSED)

    def explain(self, request_id: str, *paths: str) -> None:
        """Explain the outcome of a request from the daemons' logs.

        :param request_id: the request id, from the response or as sent by
            the caller.
        :param paths: the logs of the daemons on its path, or of all.
        """
        if not paths:
            _fail(
                exit_codes.ExitCode.USAGE,
                "give the log of at least one daemon",
            )
        try:
            explained = explanation.explain(str(request_id), map(str, paths))
        except OSError as error:
            _fail(exit_codes.ExitCode.USAGE, str(error))
        self._print(explained, _render_explanation)
        if not explained.steps:
            sys.exit(exit_codes.ExitCode.NOT_FOUND)

    def declare(
        self, path: str, *, wait: bool = False, timeout_s: float = 30.0
    ) -> None:
        """Declare the resources of a file.

        :param path: JSON with comments: one resource or a list, each with
            kind, name and spec.
        :param wait: wait until all are in force on every daemon.
        :param timeout_s: seconds to wait at most.
        """

        async def run() -> None:
            results = []
            for item in resource_files.load(str(path)):
                document = await self._put(item)
                resource = f"{item.kind}/{item.name}"
                results.append(
                    DeclarationResult(resource, document.generation)
                )
            self._print(tuple(results), _render_declarations)
            if wait and results:
                newest = max(results, key=lambda result: result.generation)
                kind, name = newest.resource.split("/")
                await self._watch(kind, name, timeout_s, newest.generation)

        _run_command(run())

    def get(self, kind: str, name: str) -> None:
        """Show a resource and the failure domains that apply it."""
        self._show(
            f"/v1/resources/{kind}/{name}",
            messages.Document,
            rendering.render_document,
        )

    def list(self, kind: str = "") -> None:
        """List the resources of a kind, or all resources."""
        path = f"/v1/resources/{kind}" if kind else "/v1/resources"
        self._show(
            path,
            messages.Documents,
            lambda listed: rendering.render_documents(listed.resources),
        )

    def watch(
        self,
        kind: str,
        name: str,
        *,
        timeout_s: float = 30.0,
        generation: int = 0,
    ) -> None:
        """Wait until a resource is in force on every daemon.

        :param timeout_s: seconds to wait at most.
        :param generation: the generation to wait for, 0 for the current one.
        """
        _run_command(self._watch(kind, name, timeout_s, generation))

    def delete(self, kind: str, name: str) -> None:
        """Delete a resource."""

        async def run() -> None:
            target = self._get_target()
            generation = await client.fetch_generation(target, kind, name)
            response = await client.request(
                target,
                "DELETE",
                f"/v1/resources/{kind}/{name}",
                messages.Problem,
                headers={"If-Match": f'"{generation}"'},
            )
            result = DeclarationResult(f"{kind}/{name}", response.generation)
            self._print((result,), _render_declarations)

        _run_command(run())

    def status(self) -> None:
        """Show the fleet: the revision here and in each failure domain."""
        self._show(
            "/v1/status",
            daemon.Fleet,
            lambda fleet: (
                f"daemon {fleet.daemon}, revision {fleet.revision}\n"
                + rendering.render_domains(fleet.domains)
            ),
        )

    def domains(self) -> None:
        """Show the revision that each failure domain applies."""
        self._show(
            "/v1/status",
            daemon.Fleet,
            lambda fleet: rendering.render_domains(fleet.domains),
        )

    def upstreams(self) -> None:
        """Show the daemons and the upstreams beside them."""
        self._show(
            "/v1/status",
            daemon.Fleet,
            lambda fleet: rendering.render_upstreams(fleet.members),
        )

    def services(self) -> None:
        """Count the instances of each service."""
        self._show(
            "/v1/status",
            daemon.Fleet,
            lambda fleet: rendering.render_services(fleet.members),
        )

    def audit(
        self,
        *,
        operator: str = "",
        resource: str = "",
        outcome: str = "",
        limit: int = 200,
        cursor: str = "",
    ) -> None:
        """Show who changed which resource, when, and the outcome.

        :param operator: only the changes of this operator.
        :param resource: only the changes of this resource, as Rank/tracking.
        :param outcome: ACCEPTED, REFUSED, SUPERSEDED or UNCERTAIN.
        :param limit: maximum number of records; the newest are shown.
        :param cursor: the cursor that the last page gave for older records.
        """
        query = parse.urlencode(
            {
                "operator": operator,
                "resource": resource,
                "outcome": outcome,
                "limit": limit,
                "cursor": cursor,
            }
        )
        self._show(
            f"/v1/audit?{query}", audit.Trail, rendering.render_audit_trail
        )

    def _show(
        self, path: str, kind: type, render: abc.Callable[[object], str]
    ) -> None:
        message = _run_command(
            client.request(self._get_target(), "GET", path, kind)
        )
        self._print(message, render)

    async def _put(
        self, item: resource_files.Declaration
    ) -> messages.Document:
        target = self._get_target()
        generation = await client.fetch_generation(
            target, item.kind, item.name
        )
        return await client.request(
            target,
            "PUT",
            f"/v1/resources/{item.kind}/{item.name}",
            messages.Document,
            body=item.spec,
            headers={"If-Match": f'"{generation}"'},
        )

    async def _watch(
        self, kind: str, name: str, timeout_s: float, generation: int
    ) -> None:
        target = self._get_target()
        path = f"/v1/resources/{kind}/{name}"
        deadline = time.monotonic() + timeout_s
        while True:
            document = await client.request(
                target, "GET", path, messages.Document
            )
            if document.generation > generation > 0:
                _fail(
                    exit_codes.ExitCode.CONFLICT,
                    f"{kind}/{name} was superseded",
                )
            if document.generation >= generation and _is_in_force(document):
                self._print(document, rendering.render_document)
                return
            if time.monotonic() >= deadline:
                self._print(document, rendering.render_document)
                _fail(
                    exit_codes.ExitCode.NOT_IN_FORCE,
                    f"{kind}/{name} is not in force on every daemon "
                    f"after {timeout_s} s",
                )
            await asyncio.sleep(_WATCH_INTERVAL_S)


def _check_file(path: str) -> CheckResult:
    try:
        kind = "resources"
        if resource_files.is_settings_file(path):
            kind = "settings"
            loader.load(path)
        else:
            resource_files.load(path)
    except errors.ValidationError as error:
        return CheckResult(
            path, kind, tuple(str(violation) for violation in error.faults)
        )
    return CheckResult(path, kind, ())


def _render_check_results(results: tuple[CheckResult, ...]) -> str:
    return "\n".join(
        f"{result.file}: {line}"
        for result in results
        for line in (result.faults or (f"{result.kind}, no faults",))
    )


def _render_declarations(results: tuple[DeclarationResult, ...]) -> str:
    return "\n".join(
        f"{result.resource} generation {result.generation}"
        for result in results
    )
