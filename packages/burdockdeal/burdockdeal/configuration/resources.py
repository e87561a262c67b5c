"""The kinds of resources that operators declare."""

import dataclasses
import typing

import msgspec

from burdockdeal.core import errors
from burdockdeal.core import validation

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
    :param health_path: the path at which an instance tells its health and
        its load, empty for none.
    """

    max_ejected_share: Share = 0.5
    queue_limit: validation.PositiveInt = 64
    upload_share: Share = 0.34
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank of work.

    :param urgency: 0 is the most urgent.
    :param worth: what one answer in time is worth.
    :param target_ms: the wait beside the upstream, in milliseconds, past
        which an answer is late.
    :param floor: the share of an upstream's slots that the rank keeps in
        a flood of any other.
    :param late_share: the share of the time to its deadline in which a call
        goes on waiting when its target has passed, for a slot that no call
        in time asks for; 0 to refuse it at its target.
    """

    urgency: validation.NonNegativeInt
    worth: validation.PositiveFloat
    target_ms: validation.PositiveFloat
    floor: Share = 0.0
    late_share: Share = 0.0


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
class Portion:
    """A service's part of the requests that a rule splits.

    :param weight: in proportion to the other portions'.
    """

    service: validation.Name
    weight: typing.Annotated[float, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Which requests go to which service, and as what work.

    :param order: the lowest order that matches wins.
    :param idempotent: whether a request may be run more than once.
    :param safe_methods: whether GET, HEAD and OPTIONS make a request
        idempotent, whatever else the rule says.
    :param deadline_ms: milliseconds until the answer must have begun.
    :param split: services that share the requests by weight, in place of
        the one service; empty for none.
    :param most_sends: instances that one request may be sent to at most.
    """

    service: validation.Name
    rank: validation.Name
    match: Match = Match()
    order: validation.NonNegativeInt = 100
    idempotent: bool = False
    safe_methods: bool = True
    deadline_ms: validation.PositiveFloat = 10_000.0
    split: tuple[Portion, ...] = ()
    most_sends: validation.PositiveInt = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What measuring may cost, as an invariant of every second.

    :param probes_per_second: probes that one daemon sends.
    :param bytes_per_second: bytes of probes that one daemon sends.
    :param upstream_probes_per_second: probes that one upstream gets.
    :param upstream_bytes_per_second: bytes of probes that one upstream gets.
    """

    probes_per_second: validation.PositiveInt = 20
    bytes_per_second: validation.PositiveInt = 8192
    upstream_probes_per_second: validation.PositiveInt = 20
    upstream_bytes_per_second: validation.PositiveInt = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle.

    The daemon's own settings bound it where they are lower.

    :param head_s: seconds within which a request's head must be there.
    :param idle_s: seconds that an idle connection is kept.
    """

    header_bytes: validation.PositiveInt = 16_384
    body_bytes: validation.PositiveInt = 67_108_864
    head_s: validation.PositiveFloat = 10.0
    idle_s: validation.PositiveFloat = 75.0


Spec = Service | Rank | Rule | Budget | CallerLimits

KINDS: dict[str, type[Spec]] = {
    "Service": Service,
    "Rank": Rank,
    "Rule": Rule,
    "Budget": Budget,
    "CallerLimits": CallerLimits,
}

#: The only name that a Budget may have.
BUDGET_NAME = "measurement"

#: The only name that CallerLimits may have.
CALLER_LIMITS_NAME = "callers"

_ONLY_NAMES = {"Budget": BUDGET_NAME, "CallerLimits": CALLER_LIMITS_NAME}


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


def _check_name(kind: str, name: str) -> tuple[errors.FieldViolation, ...]:
    try:
        msgspec.convert(name, validation.Name)
    except msgspec.ValidationError as error:
        return (errors.FieldViolation("name", str(error)),)
    only = _ONLY_NAMES.get(kind, name)
    if name != only:
        return (errors.FieldViolation("name", f"a {kind} is named {only}"),)
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
        fault = errors.FieldViolation("kind", f"no such kind; known: {known}")
        raise errors.ResourceError(subject, (fault,))
    spec, faults = validation.validate(KINDS[kind], raw)
    faults = _check_name(kind, name) + tuple(
        dataclasses.replace(
            fault, field=f"spec.{fault.field}" if fault.field else "spec"
        )
        for fault in faults
    )
    if spec is None or faults:
        raise errors.ResourceError(subject, faults)
    return spec
