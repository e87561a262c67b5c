"""Writing of changes into the log by compare-and-swap."""

import asyncio
from collections import abc
import dataclasses
import random

import msgspec

from burdockdeal.configuration import archive
from burdockdeal.configuration import decisions
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import standing
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import decisions as platform

_NO_SPEC = msgspec.Raw(b"null")

_SETTLE_S = 4.0
_FIRST_PAUSE_S = 0.02
_MOST_PAUSE_S = 0.5


class ChangeUncertainError(errors.StoreUncertainError):
    """It isn't known whether a change was accepted, or will be.

    :param change_id: the id under which it would show.
    """

    def __init__(self, change_id: str) -> None:
        self.change_id = change_id
        super().__init__(
            "the store did not tell whether the change was accepted; look "
            f"for change {change_id} in the audit trail, or send it again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A change that an operator asks for.

    :param spec: the new spec, None to delete.
    :param is_put: False to delete.
    :param expected: the generation that the operator saw, 0 for none
        yet, None if none was given.
    """

    change_id: str
    operator: str
    key: state.Key
    spec: resources.Spec | None
    expected: int | None
    is_put: bool = True


class AbsentError(errors.BurdockdealError):
    """A resource that is to be deleted does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that was accepted.

    :param generation: the resource's, or the revision that deleted it.
    :param previous: the generation before, 0 for none.
    :param repeated: whether it stood already.
    """

    generation: int
    previous: int
    repeated: bool = False


#: Append a change to the log.
Append = abc.Callable[[Request], abc.Awaitable[Accepted]]


def propose(
    configuration: state.Configuration, request: Request, at_ms: int
) -> messages.Change | Accepted:
    """Judge a request against what stands and make its change.

    :returns: the change, or Accepted if it stands already.
    :raises AbsentError: if there is nothing to delete.
    :raises ConflictError: if another generation stands.
    :raises ResourceError: if other resources rule it out.
    """
    before = configuration.resources.get(request.key)
    if decisions.is_repeat(
        before, request.spec, request.operator, request.expected
    ):
        return Accepted(before.generation, before.generation, True)
    put = request.spec is not None
    if before is None and not put:
        raise AbsentError(f"{request.key} does not exist")
    decisions.check_generation(configuration, request.key, request.expected)
    decisions.check_references(configuration, request.key, request.spec)
    return messages.Change(
        revision=configuration.revision + 1,
        change_id=request.change_id,
        operator=request.operator,
        at_ms=at_ms,
        action=messages.Action.PUT if put else messages.Action.DELETE,
        kind=request.key.kind,
        name=request.key.name,
        previous_generation=before.generation if before else 0,
        spec=msgspec.Raw(codec.encode(request.spec)) if put else _NO_SPEC,
    )


class _Write:
    """One request on its way into the log.

    A change goes to its revision's slot only, and again to the same slot
    for as long as its fate is open. It moves on to another revision only
    once another change was read in the slot, after which no late effect
    of an earlier try can land. So it is applied at most once.
    """

    def __init__(
        self,
        entries: archive.Archive,
        in_force: standing.Standing,
        request: Request,
        wall_ms: abc.Callable[[], int],
    ) -> None:
        self._log = entries
        self._standing = in_force
        self._request = request
        self._wall_ms = wall_ms
        self._change: messages.Change | None = None
        #: A try's fate is open.
        self.open = False

    async def step(self) -> Accepted | None:
        """Do one read and, if the slot is open, one write.

        :returns: Accepted once it is, None to go on.
        :raises PlatformError: if the store did not answer.
        """
        if self._change is None:
            await self._log.catch_up()
            proposed = propose(
                self._standing.configuration, self._request, self._wall_ms()
            )
            if isinstance(proposed, Accepted):
                return proposed
            self._change = proposed
        change = self._change
        slot = await self._log.read_slot(change.revision)
        fate = log.judge_slot(change.revision, change.change_id, slot.change)
        if fate is log.Fate.OPEN:
            return await self._send(change, slot.version)
        if fate is log.Fate.LANDED:
            return self._accept(change)
        if fate is log.Fate.LAPPED and self.open:
            raise ChangeUncertainError(change.change_id)
        if slot.change is not None:
            self._standing.take([slot.change])
        self._change = None
        self.open = False
        return None

    async def _send(
        self, change: messages.Change, version: int
    ) -> Accepted | None:
        try:
            await self._log.write_slot(change, version)
        except errors.StoreConflictError:
            # The client may have sent it twice: the slot tells.
            self.open = True
            return None
        except errors.StoreUncertainError:
            self.open = True
            raise
        return self._accept(change)

    def _accept(self, change: messages.Change) -> Accepted:
        self._standing.take([change])
        return Accepted(change.revision, change.previous_generation)


def _refuse(error: errors.PlatformError) -> errors.PlatformError:
    """Turn a lost read into what it means: nothing was written."""
    if isinstance(error, errors.StoreUncertainError):
        return errors.StoreUnavailableError(f"not accepted: {error}")
    return error


def make_append(
    entries: archive.Archive,
    in_force: standing.Standing,
    chance: random.Random,
    *,
    wall_ms: abc.Callable[[], int],
    clock: abc.Callable[[], float],
    pass_on: abc.Callable[[tuple[messages.Change, ...]], None],
) -> Append:
    """Make the function that appends a change to the log.

    :param wall_ms: returns the wall clock in milliseconds, for people.
    :param clock: returns monotonic seconds.
    :param pass_on: sends changes on to the fleet.
    """

    async def settle(request: Request) -> Accepted:
        write = _Write(entries, in_force, request, wall_ms)
        until = clock() + _SETTLE_S
        attempt = 0
        while clock() < until:
            attempt += 1
            try:
                accepted = await write.step()
            except ChangeUncertainError:
                raise
            except errors.PlatformError as error:
                if not write.open:
                    raise _refuse(error) from error
                event_log.debug("write_unsettled", error=error)
                accepted = None
            if accepted is not None:
                return accepted
            await asyncio.sleep(
                platform.choose_backoff(
                    attempt,
                    chance,
                    initial_s=_FIRST_PAUSE_S,
                    max_s=_MOST_PAUSE_S,
                )
            )
        if write.open:
            raise ChangeUncertainError(request.change_id)
        raise errors.StoreUnavailableError("other changes came first")

    async def append(request: Request) -> Accepted:
        before = in_force.revision
        try:
            accepted = await settle(request)
        finally:
            if in_force.revision > before:
                pass_on(in_force.page(before).changes)
        event_log.record(
            "change_accepted",
            resource=request.key,
            operator=request.operator,
            generation=accepted.generation,
            change_id=request.change_id,
            repeated=accepted.repeated,
        )
        return accepted

    return append
