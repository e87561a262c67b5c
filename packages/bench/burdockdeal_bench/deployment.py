"""Deployments: places, services, ranks and the work that callers bring."""

import dataclasses
import typing

import msgspec

from burdockdeal.configuration import resources
from burdockdeal.core import errors
from burdockdeal.core import validation

_DEFAULT_SERVICE = resources.Service()
_DEFAULT_BUDGET = resources.Budget()

NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """One daemon and the upstream beside it.

    :param service: the upstream's service, empty for no upstream.
    :param service_ms: time that one call takes, in milliseconds.
    :param warm_up_s: seconds over which a started upstream ramps up.
    :param cold: whether the upstream is first started by an event.
    """

    name: validation.Name
    failure_domain: validation.Name
    service: str = ""
    slots: validation.PositiveInt = 9
    connections: validation.PositiveInt = 200
    service_ms: validation.PositiveFloat = 20.0
    warm_up_s: NonNegativeFloat = 0.0
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service, as an operator declares it."""

    name: validation.Name
    spec: resources.Service = _DEFAULT_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank of work, as an operator declares it."""

    name: validation.Name
    spec: resources.Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One kind of request; a rule is declared for each.

    :param idempotent: whether the rule lets it run more than once.
    :param body_bytes: bytes of the request's body.
    :param upload_s: seconds over which the body is sent.
    :param calls_deep: how many calls follow each other, the first too.
    :param deadline_ms: the rule's deadline, in milliseconds.
    """

    name: validation.Name
    service: validation.Name
    rank: validation.Name
    method: typing.Literal["GET", "HEAD", "POST", "PUT", "DELETE"] = "GET"
    idempotent: bool = False
    body_bytes: validation.NonNegativeInt = 0
    upload_s: NonNegativeFloat = 0.0
    calls_deep: typing.Annotated[int, msgspec.Meta(ge=1, le=8)] = 1
    deadline_ms: validation.PositiveFloat = 2000.0

    @property
    def is_retry_safe(self) -> bool:
        """Whether a second run does no harm."""
        return self.idempotent or self.method in ("GET", "HEAD")


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Where daemons and upstreams run, and what callers ask of them.

    :param link_ms: one way between failure domains, in milliseconds.
    :param budget: what measuring may cost.
    """

    name: validation.Name
    link_ms: NonNegativeFloat
    places: tuple[Place, ...]
    services: tuple[Service, ...]
    ranks: tuple[Rank, ...]
    works: tuple[Work, ...]
    budget: resources.Budget = _DEFAULT_BUDGET

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """The failure domains, in the order of the places."""
        return tuple(
            dict.fromkeys(place.failure_domain for place in self.places)
        )

    def find_place(self, name: str) -> Place:
        """Return the place of a name."""
        return next(place for place in self.places if place.name == name)

    def find_work(self, name: str) -> Work:
        """Return the work of a name."""
        return next(work for work in self.works if work.name == name)

    @property
    def most_urgent_rank(self) -> str:
        """The rank that is served first."""
        return min(self.ranks, key=lambda rank: rank.spec.urgency).name


def _find_duplicate_names(
    field: str, items: tuple[typing.Any, ...]
) -> list[errors.FieldViolation]:
    names = [item.name for item in items]
    return [
        errors.FieldViolation(f"{field}[{index}].name", f"{name} stands twice")
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def find_faults(deployment: Deployment) -> tuple[errors.FieldViolation, ...]:
    """Find faults that show only when a deployment is seen whole."""
    services = {service.name for service in deployment.services}
    ranks = {rank.name for rank in deployment.ranks}
    faults: list[errors.FieldViolation] = []
    for field in ("places", "services", "ranks", "works"):
        items = getattr(deployment, field)
        faults += _find_duplicate_names(field, items)
        if not items:
            faults.append(
                errors.FieldViolation(field, "at least one is needed")
            )
    for index, place in enumerate(deployment.places):
        if place.service and place.service not in services:
            faults.append(
                errors.FieldViolation(
                    f"places[{index}].service",
                    f"no service is named {place.service}",
                )
            )
    for index, work in enumerate(deployment.works):
        for field, known in (("service", services), ("rank", ranks)):
            name = getattr(work, field)
            if name not in known:
                faults.append(
                    errors.FieldViolation(
                        f"works[{index}].{field}",
                        f"no {field} is named {name}",
                    )
                )
    if sum(rank.spec.floor for rank in deployment.ranks) > 1:
        faults.append(errors.FieldViolation("ranks", "their floors exceed 1"))
    return tuple(faults)
