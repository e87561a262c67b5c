"""The kinds of resources that operators declare."""

import dataclasses
import typing

import msgspec

from burdockdeal.core import checking
from burdockdeal.core import errors

Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service whose instances answer calls.

    :param max_ejected_share: the largest share of its instances that
        routing may leave out at once.
    :param queue_limit: calls that may wait beside one upstream.
    :param upload_share: the share of an upstream's slots that uploads may
        hold at once, at least one slot; bodies that are read whole before
        they are sent on don't count.
    """

    max_ejected_share: Share = 0.5
    queue_limit: checking.PositiveInt = 64
    upload_share: Share = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank of work.

    :param urgency: 0 is the most urgent.
    :param worth: what one answer in time is worth.
    :param target_ms: the wait beside the upstream, in milliseconds, past
        which an answer is late.
    :param floor: the share of an upstream's slots that the rank keeps in
        a flood of any other.
    """

    urgency: checking.Count
    worth: checking.Positive
    target_ms: checking.Positive
    floor: Share = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """What a rule's requests look like.

    :param path_prefix: how the path begins.
    :param methods: the methods, empty for all.
    :param host: the Host header without its port, empty for all.
    """

    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    host: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Which requests go to which service, and as what work.

    :param order: the lowest order that matches wins.
    :param idempotent: whether a request may be run more than once.
    :param deadline_ms: milliseconds until the answer must have begun.
    """

    service: checking.Name
    rank: checking.Name
    match: Match = Match()
    order: checking.Count = 100
    idempotent: bool = False
    deadline_ms: checking.Positive = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What measuring may cost, as an invariant of every second.

    :param probes_per_second: probes that one daemon sends.
    :param bytes_per_second: bytes of probes that one daemon sends.
    :param upstream_probes_per_second: probes that one upstream gets.
    :param upstream_bytes_per_second: bytes of probes that one upstream gets.
    """

    probes_per_second: checking.PositiveInt = 20
    bytes_per_second: checking.PositiveInt = 8192
    upstream_probes_per_second: checking.PositiveInt = 20
    upstream_bytes_per_second: checking.PositiveInt = 8192


Spec = Service | Rank | Rule | Budget

KINDS: dict[str, type[Spec]] = {
    "Service": Service,
    "Rank": Rank,
    "Rule": Rule,
    "Budget": Budget,
}

#: The only name that a Budget may have.
BUDGET_NAME = "measurement"


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """A resource as it stands.

    :param generation: the log revision that set it; it only grows.
    """

    kind: str
    name: str
    generation: int
    spec: Spec
    changed_by: str
    changed_at_ms: int


def _check_name(kind: str, name: str) -> tuple[errors.Fault, ...]:
    try:
        msgspec.convert(name, checking.Name)
    except msgspec.ValidationError as error:
        return (errors.Fault("name", str(error)),)
    if kind == "Budget" and name != BUDGET_NAME:
        return (errors.Fault("name", f"a Budget is named {BUDGET_NAME}"),)
    return ()


def check_spec(kind: str, name: str, raw: object) -> Spec:
    """Check a declared resource by itself.

    :param raw: the spec as a parser read it.
    :returns: the spec.
    :raises ResourceError: with every fault, named by its field.
    """
    subject = f"{kind}/{name}"
    if kind not in KINDS:
        known = ", ".join(sorted(KINDS))
        fault = errors.Fault("kind", f"no such kind; known: {known}")
        raise errors.ResourceError(subject, (fault,))
    spec, faults = checking.check(KINDS[kind], raw)
    faults = _check_name(kind, name) + tuple(
        dataclasses.replace(
            fault, field=f"spec.{fault.field}" if fault.field else "spec"
        )
        for fault in faults
    )
    if spec is None or faults:
        raise errors.ResourceError(subject, faults)
    return spec
