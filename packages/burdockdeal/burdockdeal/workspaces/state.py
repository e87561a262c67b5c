"""Who a request belongs to, and the keys by which that is found."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a request belongs to.

    :param workspace: the name of the workspace, empty for an anonymous
        request.
    :param key_id: identifies the key without disclosing it.
    """

    workspace: str = ""
    key_id: str = ""


ANONYMOUS = Identity()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceIndex:
    """The workspaces of a configuration, indexed for the request path.

    :param workspaces: by name.
    :param by_digest: the workspace's name by the digest of its key.
    :param by_key_id: the workspace's name by the id of its key.
    """

    workspaces: abc.Mapping[str, resources.Workspace]
    by_digest: abc.Mapping[str, str]
    by_key_id: abc.Mapping[str, str]

    @property
    def is_empty(self) -> bool:
        """Whether the configuration has no workspace, so needs no keys."""
        return not self.workspaces


EMPTY_INDEX = WorkspaceIndex({}, {}, {})
