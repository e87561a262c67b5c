"""Deployments: places, services, ranks and kinds of work, read from JSON5."""

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
    """One daemon and its local upstream.

    :param service: the upstream's service, empty for no upstream.
    :param slots: calls that the upstream runs at the same time.
    :param connections: limit on connections that the upstream announces.
    :param service_ms: time that one call takes, in milliseconds.
    :param warm_up_s: ramp-up time that a started upstream announces, in
        seconds.
    :param cold: whether the upstream stays stopped until a
        START_UPSTREAM event.
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
    """A service and its specification, as an operator declares them."""

    name: validation.Name
    spec: resources.Service = _DEFAULT_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank and its specification, as an operator declares them."""

    name: validation.Name
    spec: resources.Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One kind of request; a routing rule is declared for each.

    :param idempotent: whether the rule declares the request idempotent.
    :param body_bytes: size of the request's body, in bytes.
    :param upload_s: seconds over which the body is sent; 0 sends it at
        once.
    :param calls_deep: length of the chain of calls, the first included.
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
        """Whether running the request twice has the effect of one run."""
        return self.idempotent or self.method in ("GET", "HEAD")


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Daemons, upstreams and configuration, and the work callers request.

    :param link_ms: one-way delay between failure domains, in
        milliseconds.
    :param budget: the limit on the cost of probes.
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
        """The distinct failure domains, in the order of the places."""
        return tuple(
            dict.fromkeys(place.failure_domain for place in self.places)
        )

    def find_place(self, name: str) -> Place:
        """Return the place of this name.

        :raises StopIteration: if there is none.
        """
        return next(place for place in self.places if place.name == name)

    def find_work(self, name: str) -> Work:
        """Return the kind of work of this name.

        :raises StopIteration: if there is none.
        """
        return next(work for work in self.works if work.name == name)

    @property
    def most_urgent_rank(self) -> str:
        """The name of the rank with the lowest urgency number."""
        return min(self.ranks, key=lambda rank: rank.spec.urgency).name


def _find_duplicate_names(
    field: str, items: tuple[typing.Any, ...]
) -> list[errors.FieldViolation]:
    names = [item.name for item in items]
    return [
        errors.FieldViolation(
            f"{field}[{index}].name", f"{name} is used more than once"
        )
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def find_faults(deployment: Deployment) -> tuple[errors.FieldViolation, ...]:
    """Check what spans several fields: duplicate names, references, floors."""
    services = {service.name for service in deployment.services}
    ranks = {rank.name for rank in deployment.ranks}
    faults: list[errors.FieldViolation] = []
    for field in ("places", "services", "ranks", "works"):
        items = getattr(deployment, field)
        faults += _find_duplicate_names(field, items)
        if not items:
            faults.append(
                errors.FieldViolation(field, "must have at least one item")
            )
    for index, place in enumerate(deployment.places):
        if place.service and place.service not in services:
            faults.append(
                errors.FieldViolation(
                    f"places[{index}].service",
                    f"unknown service {place.service}",
                )
            )
    for index, work in enumerate(deployment.works):
        for field, known in (("service", services), ("rank", ranks)):
            name = getattr(work, field)
            if name not in known:
                faults.append(
                    errors.FieldViolation(
                        f"works[{index}].{field}",
                        f"unknown {field} {name}",
                    )
                )
    if sum(rank.spec.floor for rank in deployment.ranks) > 1:
        faults.append(
            errors.FieldViolation("ranks", "the floors add up to more than 1")
        )
    return tuple(faults)
