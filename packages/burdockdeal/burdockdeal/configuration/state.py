"""An immutable snapshot of all resources at one revision."""

import dataclasses
import operator
import types

from burdockdeal.configuration import resources as kinds


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Key:
    """Identifies a resource by its kind and name."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All resources as of one revision of the change log.

    :param revision: the revision, 0 before the first change.
    """

    revision: int = 0
    resources: types.MappingProxyType[Key, kinds.Resource] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )

    def of_kind(self, kind: str) -> tuple[kinds.Resource, ...]:
        """Return the resources of a kind, sorted by name."""
        matching = [
            resource
            for key, resource in self.resources.items()
            if key.kind == kind
        ]
        return tuple(sorted(matching, key=operator.attrgetter("name")))
