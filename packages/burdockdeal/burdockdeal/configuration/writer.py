"""Appending changes to the log by compare-and-swap."""

import asyncio
from collections import abc
import dataclasses
import random

import msgspec

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import decisions
from burdockdeal.configuration import log
from burdockdeal.configuration import messages
from burdockdeal.configuration import repository
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import decisions as platform
from burdockdeal.platform import messages as store

_NO_SPEC = msgspec.Raw(b"null")

#: Seconds after which an append ends, accepted or not.
_APPEND_TIMEOUT_S = 4.0
_INITIAL_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5


class ChangeUncertainError(errors.StoreUncertainError):
    """It isn't known whether a change was accepted, or still will be.

    :param change_id: the id under which to look for it in the audit trail.
    """

    def __init__(self, change_id: str) -> None:
        self.change_id = change_id
        super().__init__(
            "the store did not tell whether the change was accepted; look "
            f"for change {change_id} in the audit trail, or send it again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator requests.

    :param change_id: a unique id, chosen by the daemon.
    :param operator: the operator's name.
    :param spec: the new spec, None to delete the resource.
    :param expected: the generation from If-Match; 0 if the resource must
        not exist yet, None if the operator gave no generation.
    :param is_put: True to create or replace, False to delete.
    """

    change_id: str
    operator: str
    key: state.Key
    spec: resources.Spec | None
    expected: int | None
    is_put: bool = True


class ResourceNotFoundError(errors.BurdockdealError):
    """The resource to be deleted does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The result of a request that was accepted.

    :param generation: the resource's new generation, or the revision that
        deleted the resource.
    :param previous: the generation before, 0 for none.
    :param repeated: whether the spec was current already, so that no change
        was written.
    """

    generation: int
    previous: int
    repeated: bool = False


#: Appends the requested change to the log and waits for the result.
Append = abc.Callable[[ChangeRequest], abc.Awaitable[Accepted]]


def propose(
    configuration: state.Configuration, request: ChangeRequest, at_ms: int
) -> messages.Change | Accepted:
    """Check a request against the configuration and make its change.

    :param configuration: the active configuration.
    :param at_ms: the wall clock, in milliseconds.
    :returns: the change, or Accepted if the spec is current already.
    :raises ResourceNotFoundError: if there is nothing to delete.
    :raises ConflictError: if another generation is current.
    :raises ResourceError: if the change contradicts other resources.
    """
    current = configuration.resources.get(request.key)
    if decisions.is_repeat(
        current, request.spec, request.operator, request.expected
    ):
        return Accepted(current.generation, current.generation, True)
    is_put = request.spec is not None
    if current is None and not is_put:
        raise ResourceNotFoundError(f"{request.key} does not exist")
    decisions.check_generation(configuration, request.key, request.expected)
    decisions.check_references(configuration, request.key, request.spec)
    return messages.Change(
        revision=configuration.revision + 1,
        change_id=request.change_id,
        operator=request.operator,
        at_ms=at_ms,
        action=messages.Action.PUT if is_put else messages.Action.DELETE,
        kind=request.key.kind,
        name=request.key.name,
        previous_generation=current.generation if current else 0,
        spec=msgspec.Raw(codec.encode(request.spec)) if is_put else _NO_SPEC,
    )


class _PendingWrite:
    """A request that is being written to the log.

    A change is written only to the slot of its revision, and written again
    to the same slot for as long as the outcome of a write is unknown. The
    request is tried at another revision only once another change was read
    in the slot: from then on, no delayed write of an earlier attempt can
    take effect. So the request is applied at most once.

    :param log_store: reads and writes the log in the store.
    :param active: the active configuration.
    :param wall_ms: returns the wall clock in milliseconds.
    """

    def __init__(
        self,
        log_store: repository.Repository,
        active: active_configuration.ActiveConfiguration,
        request: ChangeRequest,
        wall_ms: abc.Callable[[], int],
    ) -> None:
        self._log = log_store
        self._active = active
        self._request = request
        self._wall_ms = wall_ms
        self._change: messages.Change | None = None
        #: Whether a write was sent whose outcome is unknown.
        self.is_in_doubt = False

    async def step(self) -> Accepted | None:
        """Read the slot once and, if it is unwritten, write it once.

        :returns: the result, None if a further step is needed.
        :raises ChangeUncertainError: if the slot was overwritten by a later
            lap while the outcome of a write was unknown.
        :raises PlatformError: if the store did not answer.
        """
        if self._change is None:
            await self._log.catch_up()
            proposed = propose(
                self._active.configuration, self._request, self._wall_ms()
            )
            if isinstance(proposed, Accepted):
                return proposed
            self._change = proposed
        change = self._change
        slot = await self._log.read_slot(change.revision)
        outcome = log.classify_slot(
            change.revision, change.change_id, slot.change
        )
        if outcome is log.WriteOutcome.UNWRITTEN:
            return await self._write(change, slot.version)
        if outcome is log.WriteOutcome.COMMITTED:
            return self._accept(change)
        if outcome is log.WriteOutcome.OVERWRITTEN and self.is_in_doubt:
            raise ChangeUncertainError(change.change_id)
        if slot.change is not None:
            self._active.apply([slot.change])
        self._change = None
        self.is_in_doubt = False
        return None

    async def _write(
        self, change: messages.Change, version: store.Version
    ) -> Accepted | None:
        try:
            await self._log.write_slot(change, version)
        except errors.StoreConflictError:
            # The store's client may have sent the write twice, so that the
            # conflict may be with this very change: read the slot again.
            self.is_in_doubt = True
            return None
        except errors.StoreUncertainError:
            self.is_in_doubt = True
            raise
        return self._accept(change)

    def _accept(self, change: messages.Change) -> Accepted:
        self._active.apply([change])
        return Accepted(change.revision, change.previous_generation)


def _as_not_accepted(error: errors.PlatformError) -> errors.PlatformError:
    """Turn the lost answer of a read into "unavailable".

    A read whose answer was lost has written nothing.
    """
    if isinstance(error, errors.StoreUncertainError):
        return errors.StoreUnavailableError(f"not accepted: {error}")
    return error


def make_append(
    log_store: repository.Repository,
    active: active_configuration.ActiveConfiguration,
    rng: random.Random,
    *,
    wall_ms: abc.Callable[[], int],
    clock: abc.Callable[[], float],
    forward: abc.Callable[[tuple[messages.Change, ...]], None],
) -> Append:
    """Make the function that appends a change to the log.

    :param log_store: reads and writes the log in the store.
    :param active: the active configuration, to which changes are applied.
    :param rng: randomises the pauses between attempts.
    :param wall_ms: returns the wall clock in milliseconds, which is shown
        to operators.
    :param clock: returns monotonic time in seconds.
    :param forward: forwards changes to the fleet.
    """

    async def write_until_decided(request: ChangeRequest) -> Accepted:
        write = _PendingWrite(log_store, active, request, wall_ms)
        deadline = clock() + _APPEND_TIMEOUT_S
        attempt = 0
        while clock() < deadline:
            attempt += 1
            try:
                accepted = await write.step()
            except ChangeUncertainError:
                raise
            except errors.PlatformError as error:
                if not write.is_in_doubt:
                    raise _as_not_accepted(error) from error
                event_log.debug("write_outcome_unknown", error=error)
                accepted = None
            if accepted is not None:
                return accepted
            await asyncio.sleep(
                platform.choose_backoff(
                    attempt,
                    rng,
                    initial_s=_INITIAL_BACKOFF_S,
                    max_s=_MAX_BACKOFF_S,
                )
            )
        if write.is_in_doubt:
            raise ChangeUncertainError(request.change_id)
        raise errors.StoreUnavailableError("other changes came first")

    async def append(request: ChangeRequest) -> Accepted:
        revision_before = active.revision
        try:
            accepted = await write_until_decided(request)
        finally:
            if active.revision > revision_before:
                forward(active.list_changes(revision_before).changes)
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
