"""Decides which workspace a request belongs to, and whether it may run."""

from collections import abc
import hashlib
import hmac

from burdockdeal.configuration import resources
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.workspaces import state

#: Characters of a digest that identify a key between daemons: enough that no
#: two keys share them by chance. They can confirm a guess, so keys must be
#: random.
KEY_ID_LENGTH = 16


def compute_digest(key: str) -> str:
    """Compute the digest under which a key is configured."""
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()


def compute_key_id(digest: str) -> str:
    """Compute the id of a key from its digest."""
    return digest[:KEY_ID_LENGTH]


def index_workspaces(
    workspaces: abc.Mapping[str, resources.Workspace],
) -> state.WorkspaceIndex:
    """Index the workspaces of a configuration by their keys."""
    by_digest = {
        digest: name
        for name, workspace in workspaces.items()
        for digest in workspace.key_digests
    }
    return state.WorkspaceIndex(
        workspaces=workspaces,
        by_digest=by_digest,
        by_key_id={
            compute_key_id(digest): name for digest, name in by_digest.items()
        },
    )


def find_shared_keys(
    workspaces: abc.Mapping[str, resources.Workspace],
) -> tuple[errors.FieldViolation, ...]:
    """Find the keys that more than one workspace has.

    :returns: one violation for each such key, which names the workspaces and
        the position of the key, not the key.
    """
    owners: dict[str, str] = {}
    faults = []
    for name, workspace in workspaces.items():
        for position, digest in enumerate(workspace.key_digests):
            owner = owners.setdefault(digest, name)
            if owner != name:
                faults.append(
                    errors.FieldViolation(
                        f"{name}.key_digests[{position}]",
                        f"Workspace/{owner} has the same key",
                    )
                )
    return tuple(faults)


def _find_workspace(index: state.WorkspaceIndex, digest: str) -> str | None:
    # The lookup is by digest, so that its time says nothing about the key.
    name = index.by_digest.get(digest)
    if name is None:
        return None
    configured = index.workspaces[name].key_digests
    matches = [hmac.compare_digest(digest, each) for each in configured]
    return name if any(matches) else None


def identify(
    index: state.WorkspaceIndex, key: str | None, *, allow_anonymous: bool
) -> state.Identity:
    """Decide who a request belongs to.

    :param key: the key that the request came with, None without one.
    :param allow_anonymous: whether its rule admits requests without a key.
    :raises NotRunError: if the rule requires a key and the request has none,
        or one that no workspace has.
    """
    if index.is_empty:
        return state.ANONYMOUS
    if key is not None:
        digest = compute_digest(key)
        name = _find_workspace(index, digest)
        if name is not None:
            return state.Identity(name, compute_key_id(digest))
    if allow_anonymous:
        return state.ANONYMOUS
    raise errors.NotRunError(
        verdict.Reason.KEY_REFUSED,
        "no key" if key is None else "no workspace has this key",
    )


def is_key_withdrawn(
    index: state.WorkspaceIndex, workspace: str, key_id: str
) -> bool:
    """Return whether a call's key has been withdrawn since it was accepted.

    Answers the load of a full queue: a call that waits there when its key is
    withdrawn must not start.

    :param index: the workspaces of the configuration in force at the owner.
    :param workspace: the call's workspace, empty for an anonymous call.
    """
    if not workspace or index.is_empty:
        return False
    return index.by_key_id.get(key_id) != workspace


def find_weight(index: state.WorkspaceIndex, workspace: str) -> float:
    """Return the weight of a workspace, 1 for calls without one."""
    found = index.workspaces.get(workspace)
    return found.weight if found is not None else 1.0


def combine_regions(
    first: abc.Collection[str], second: abc.Collection[str]
) -> frozenset[str] | None:
    """Combine the regions that a rule and a workspace allow.

    :param first: region names, empty for all.
    :param second: region names, empty for all.
    :returns: the regions that both allow, empty for all; None if they have
        no region in common.
    """
    if not first or not second:
        return frozenset(first or second)
    return frozenset(first) & frozenset(second) or None
