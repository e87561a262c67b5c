"""Writing of changes into the log by compare-and-swap."""

from collections import abc

import msgspec

from burdockdeal.configuration import decisions
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.configuration import service
from burdockdeal.configuration import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import journal
from burdockdeal.platform import store

_NO_SPEC = msgspec.Raw(b"null")

#: Append (operator, key, spec or None to delete, expected generation).
Append = abc.Callable[
    [str, state.Key, resources.Spec | None, int | None],
    abc.Awaitable[messages.Change],
]


def make_append(
    platform: store.Store,
    follower: service.Follower,
    standing: service.Standing,
    new_id: abc.Callable[[], str],
    wall_ms: abc.Callable[[], int],
) -> Append:
    """Make the function that appends a change to the log.

    :param wall_ms: returns the wall clock in milliseconds, for people.
    """

    async def settle(change: messages.Change) -> bool:
        """Learn whether a write whose answer was lost took effect."""
        entry = await platform.get(decisions.log_key(change.revision))
        if entry is None:
            return False
        stood = codec.decode(entry.value, messages.Change)
        return stood.change_id == change.change_id

    async def write(change: messages.Change) -> bool:
        key = decisions.log_key(change.revision)
        value = codec.encode(change).decode()
        try:
            await platform.put(key, value, version=0)
        except errors.StoreConflictError:
            return await settle(change)
        except errors.StoreUncertainError:
            return await settle(change)
        return True

    async def append(
        operator: str,
        key: state.Key,
        spec: resources.Spec | None,
        expected: int | None,
    ) -> messages.Change:
        change_id = new_id()
        while True:
            await follower.catch_up()
            now = standing.configuration
            decisions.check_generation(now, key, expected)
            decisions.check_references(now, key, spec)
            before = now.resources.get(key)
            change = messages.Change(
                revision=now.revision + 1,
                change_id=change_id,
                operator=operator,
                at_ms=wall_ms(),
                action=messages.Action.PUT if spec else messages.Action.DELETE,
                kind=key.kind,
                name=key.name,
                previous_generation=before.generation if before else 0,
                spec=msgspec.Raw(codec.encode(spec)) if spec else _NO_SPEC,
            )
            if await write(change):
                standing.take([change])
                journal.record(
                    "change_accepted",
                    resource=key,
                    operator=operator,
                    revision=change.revision,
                )
                return change

    return append
