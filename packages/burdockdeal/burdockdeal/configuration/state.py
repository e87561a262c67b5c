"""The state of the configuration."""

import dataclasses
import operator
import types

from burdockdeal.configuration import resources as kinds


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Key:
    """Names a resource."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All resources as of one revision of the change log."""

    revision: int = 0
    resources: types.MappingProxyType[Key, kinds.Resource] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )

    def of_kind(self, kind: str) -> tuple[kinds.Resource, ...]:
        """List the resources of a kind, by name."""
        found = [
            resource
            for key, resource in self.resources.items()
            if key.kind == kind
        ]
        return tuple(sorted(found, key=operator.attrgetter("name")))
