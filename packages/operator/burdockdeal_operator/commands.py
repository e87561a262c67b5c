"""What an operator can do."""

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

_WATCH_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """What `check` found in one file."""

    file: str
    kind: str
    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationResult:
    """What `declare` did with one resource."""

    resource: str
    generation: int


def _fail(code: exit_codes.ExitCode, *lines: str) -> None:
    for line in lines:
        print(f"burdockctl: {line}", file=sys.stderr)
    sys.exit(code)


def _render_explanation(told: explanation.Explanation) -> str:
    return "\n".join([*map(str, told.steps), f"cause: {told.cause}"])


def _run(work: abc.Coroutine[None, None, object]) -> object:
    """Run a command and turn its errors into plain lines."""
    try:
        return asyncio.run(work)
    except client.RefusedError as error:
        code = exit_codes.BY_HTTP_STATUS.get(
            error.status, exit_codes.ExitCode.REFUSED
        )
        problem = error.problem
        lines = problem.faults or (problem.error,)
        if problem.change_id:
            look = f"look for change {problem.change_id} in the audit trail"
            lines = (*lines, look)
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


def _in_force(document: messages.Document) -> bool:
    status = document.status
    return status is not None and all(
        condition.status for condition in status.conditions
    )


class Commands:
    """Declare resources and see what became of them.

    Every command takes --address HOST:PORT, the operator interface of any
    daemon (or the variable BURDOCKDEAL_ADDRESS), --token TOKEN (better the
    variable BURDOCKDEAL_TOKEN, which keeps it out of the list of
    processes) and --output text|json.

    Exit codes: 0 done, 1 not in force in time, 2 wrong usage, 3 refused,
    4 another change came first, 5 not found, 6 no answer, 7 wrong token.

    A first session: `check` the files, `declare` one with --wait, `get`
    or `list` what stands, `status` for the fleet, `audit` for the trail.

    :param address: host:port of a daemon's operator interface.
    :param token: the operator's token.
    :param output: text or json.
    """

    def __init__(self, *, address: str, token: str, output: str) -> None:
        self._address = address
        self._token = token
        self._output = output

    def _target(self) -> client.Target:
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

        :param paths: the files; a file with a `listen` field is taken
            for a daemon's settings, any other for resources.
        """
        if not paths:
            _fail(exit_codes.ExitCode.USAGE, "give at least one file")
        checked = tuple(map(_check_file, map(str, paths)))
        self._print(checked, _render_checked)
        if any(one.faults for one in checked):
            sys.exit(exit_codes.ExitCode.REFUSED)

    def explain(self, request_id: str, *paths: str) -> None:
        """Explain what became of a request, from the daemons' logs.

        :param request_id: as the caller was told it, or gave it.
        :param paths: the logs of the daemons on its way, or of all.
        """
        if not paths:
            _fail(
                exit_codes.ExitCode.USAGE,
                "give the log of at least one daemon",
            )
        try:
            told = explanation.explain(str(request_id), map(str, paths))
        except OSError as error:
            _fail(exit_codes.ExitCode.USAGE, str(error))
        self._print(told, _render_explanation)
        if not told.steps:
            sys.exit(exit_codes.ExitCode.NOT_FOUND)

    def declare(
        self, path: str, *, wait: bool = False, timeout_s: float = 30.0
    ) -> None:
        """Declare the resources of a file.

        :param path: JSON with comments: one resource or a list, each with
            kind, name and spec.
        :param wait: wait until all are in force everywhere.
        """

        async def work() -> None:
            declared = []
            for item in resource_files.load(str(path)):
                document = await self._put(item)
                resource = f"{item.kind}/{item.name}"
                declared.append(
                    DeclarationResult(resource, document.generation)
                )
            self._print(tuple(declared), _render_declared)
            if wait and declared:
                newest = max(declared, key=lambda one: one.generation)
                kind, name = newest.resource.split("/")
                await self._watch(kind, name, timeout_s, newest.generation)

        _run(work())

    def get(self, kind: str, name: str) -> None:
        """Show a resource and where it is in force."""
        self._show(
            f"/v1/resources/{kind}/{name}",
            messages.Document,
            rendering.render_document,
        )

    def list(self, kind: str = "") -> None:
        """List the resources of a kind, or all."""
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
        """Wait until a resource is in force everywhere.

        :param generation: the generation to wait for, 0 for the present.
        """
        _run(self._watch(kind, name, timeout_s, generation))

    def delete(self, kind: str, name: str) -> None:
        """Delete a resource."""

        async def work() -> None:
            target = self._target()
            generation = await client.find_generation(target, kind, name)
            done = await client.request(
                target,
                "DELETE",
                f"/v1/resources/{kind}/{name}",
                messages.Problem,
                headers={"If-Match": f'"{generation}"'},
            )
            declared = DeclarationResult(f"{kind}/{name}", done.generation)
            self._print((declared,), _render_declared)

        _run(work())

    def status(self) -> None:
        """Show the fleet: failure domains and what they apply."""
        self._show(
            "/v1/status",
            daemon.Fleet,
            lambda fleet: (
                f"daemon {fleet.daemon}, revision {fleet.revision}\n"
                + rendering.render_domains(fleet.domains)
            ),
        )

    def domains(self) -> None:
        """Show what each failure domain applies."""
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
        """Show who changed what, when, and how it ended.

        :param operator: only the changes of this operator.
        :param resource: only the changes of this one, as Rank/tracking.
        :param outcome: ACCEPTED, REFUSED, SUPERSEDED or UNCERTAIN.
        :param limit: records of one page, the newest.
        :param cursor: from the page before, for older records.
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
        self._show(f"/v1/audit?{query}", audit.Trail, rendering.render_trail)

    def _show(
        self, path: str, kind: type, render: abc.Callable[[object], str]
    ) -> None:
        message = _run(client.request(self._target(), "GET", path, kind))
        self._print(message, render)

    async def _put(
        self, item: resource_files.Declaration
    ) -> messages.Document:
        target = self._target()
        generation = await client.find_generation(target, item.kind, item.name)
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
        target = self._target()
        path = f"/v1/resources/{kind}/{name}"
        until = time.monotonic() + timeout_s
        while True:
            document = await client.request(
                target, "GET", path, messages.Document
            )
            if document.generation > generation > 0:
                _fail(
                    exit_codes.ExitCode.CONFLICT,
                    f"{kind}/{name} was superseded",
                )
            if document.generation >= generation and _in_force(document):
                self._print(document, rendering.render_document)
                return
            if time.monotonic() >= until:
                self._print(document, rendering.render_document)
                _fail(
                    exit_codes.ExitCode.NOT_IN_FORCE,
                    f"{kind}/{name} is not in force everywhere "
                    f"after {timeout_s} s",
                )
            await asyncio.sleep(_WATCH_PAUSE_S)


def _check_file(path: str) -> CheckResult:
    try:
        kind = "resources"
        if resource_files.is_settings_file(path):
            kind = "settings"
            loader.load(path)
        else:
            resource_files.load(path)
    except errors.ValidationError as error:
        return CheckResult(path, kind, tuple(str(f) for f in error.faults))
    return CheckResult(path, kind, ())


def _render_checked(checked: tuple[CheckResult, ...]) -> str:
    return "\n".join(
        f"{one.file}: {line}"
        for one in checked
        for line in (one.faults or (f"{one.kind}, no fault",))
    )


def _render_declared(declared: tuple[DeclarationResult, ...]) -> str:
    return "\n".join(
        f"{one.resource} generation {one.generation}" for one in declared
    )
