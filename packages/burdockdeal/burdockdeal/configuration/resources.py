"""The kinds of resources that operators declare, and their validation."""

from collections import abc
import dataclasses
import typing

import msgspec

from burdockdeal.core import errors
from burdockdeal.core import validation

#: Milliseconds within which an answer must begin if no rule says otherwise.
DEFAULT_DEADLINE_MS = 10_000.0

Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service whose instances answer calls.

    :param max_ejected_share: the largest share of its instances, from 0 to
        1, that routing may eject at once.
    :param queue_limit: the number of calls that may queue for one upstream.
    :param upload_share: the share of an upstream's slots, from 0 to 1, that
        uploads may occupy at once, at least one slot. Requests whose body
        is buffered whole before it is forwarded don't count as uploads.
    :param health_path: the path at which an instance reports its health and
        its load, empty for none.
    :param cold_starts_per_s: the rate at which an instance that is still
        warming up may start calls; 0 for no limit.
    """

    max_ejected_share: Share = 0.5
    queue_limit: validation.PositiveInt = 64
    upload_share: Share = 0.34
    health_path: str = ""
    cold_starts_per_s: validation.Quantity = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A priority class of requests.

    :param urgency: the order of priority; 0 is the most urgent.
    :param worth: the relative value of one answer within the target.
    :param target_ms: the maximum time in the upstream's queue, in
        milliseconds; a call that waits longer is late.
    :param floor: the share of an upstream's slots, from 0 to 1, that the
        rank is guaranteed however many requests other ranks send.
    :param late_share: the share of the time to its deadline, from 0 to 1,
        for which a call goes on waiting after its target has passed. It
        then gets only slots that no call within its target asks for. 0
        refuses a call at its target.
    """

    urgency: validation.NonNegativeInt
    worth: validation.PositiveFloat
    target_ms: validation.PositiveFloat
    floor: Share = 0.0
    late_share: Share = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """The conditions that a request must meet for a rule to apply.

    :param path_prefix: the prefix of the path.
    :param methods: the HTTP methods, empty for all.
    :param host: the Host header without its port, empty for all.
    """

    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    host: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a rule's requests.

    :param weight: the share, relative to the sum of all weights of the
        rule.
    """

    service: validation.ExternalName
    weight: typing.Annotated[float, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Assigns requests to a service, with their rank and retry terms.

    :param service: the service that answers the requests.
    :param rank: the priority class of the requests.
    :param match: the conditions that a request must meet.
    :param order: the precedence; of the rules that match, the one with the
        lowest order applies.
    :param idempotent: whether a request may be run more than once.
    :param safe_methods: whether GET, HEAD and OPTIONS requests count as
        idempotent even if the rule is not idempotent.
    :param deadline_ms: milliseconds within which the answer must begin.
    :param split: services that share the requests by weight, instead of the
        one service; empty for none.
    :param most_sends: the maximum number of instances to which one request
        may be sent.
    :param allow_anonymous: whether a request may come without the key of a
        workspace. Without any workspace, no request needs a key.
    :param regions: the regions in which a request may be served and queued,
        empty for all.
    """

    service: validation.ExternalName
    rank: validation.ExternalName
    match: Match = Match()
    order: validation.NonNegativeInt = 100
    idempotent: bool = False
    safe_methods: bool = True
    deadline_ms: validation.PositiveFloat = DEFAULT_DEADLINE_MS
    split: tuple[WeightedService, ...] = ()
    most_sends: validation.PositiveInt = 3
    allow_anonymous: bool = False
    regions: tuple[validation.ExternalName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers with its own keys, quota and priority.

    :param key_digests: the SHA-256 digests of its keys. The keys themselves
        are stored nowhere.
    :param urgency: the order of priority of its requests, in place of that
        of their rule's rank; None to keep the rank. It applies where a rank
        of that urgency has the same target, floor and late share.
    :param requests_per_s: the rate of requests that the whole fleet runs for
        the workspace; 0 for no limit.
    :param burst: requests that may run on top of that rate at once.
    :param regions: the regions in which its requests may be served and
        queued, empty for all.
    :param weight: its share of an upstream's slots relative to the other
        workspaces of a rank, while they compete.
    """

    key_digests: tuple[validation.Digest, ...] = ()
    urgency: validation.NonNegativeInt | None = None
    requests_per_s: validation.Quantity = 0.0
    burst: validation.Quantity = 0.0
    regions: tuple[validation.ExternalName, ...] = ()
    weight: validation.PositiveFloat = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """The limits on measurement traffic, which hold for every second.

    :param probes_per_second: the most probes that one daemon sends.
    :param bytes_per_second: the most bytes of probes that one daemon sends.
    :param upstream_probes_per_second: the most probes that one upstream
        receives.
    :param upstream_bytes_per_second: the most bytes of probes that one
        upstream receives.
    """

    probes_per_second: validation.PositiveInt = 20
    bytes_per_second: validation.PositiveInt = 8192
    upstream_probes_per_second: validation.PositiveInt = 20
    upstream_bytes_per_second: validation.PositiveInt = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    The daemon's own settings apply where they are lower.

    :param header_bytes: the maximum size of a request's headers, in bytes.
    :param body_bytes: the maximum size of a request's body, in bytes.
    :param head_s: seconds within which a request's head must have arrived.
    :param idle_s: seconds for which an idle connection is kept open.
    """

    header_bytes: validation.PositiveInt = 16_384
    body_bytes: validation.PositiveInt = 67_108_864
    head_s: validation.PositiveFloat = 10.0
    idle_s: validation.PositiveFloat = 75.0


Spec = Service | Rank | Rule | Workspace | Budget | CallerLimits

KINDS: dict[str, type[Spec]] = {
    "Service": Service,
    "Rank": Rank,
    "Rule": Rule,
    "Workspace": Workspace,
    "Budget": Budget,
    "CallerLimits": CallerLimits,
}

#: The only name that a Budget may have.
BUDGET_NAME = "measurement"

#: The only name that a CallerLimits resource may have.
CALLER_LIMITS_NAME = "callers"

_SINGLETON_NAMES = {"Budget": BUDGET_NAME, "CallerLimits": CALLER_LIMITS_NAME}


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource in its current generation.

    :param generation: the revision of the log that set it; it only grows.
    :param changed_by: the name of the operator who set it.
    :param changed_at_ms: the wall clock at that time, in milliseconds.
    """

    kind: str
    name: str
    generation: int
    spec: Spec
    changed_by: str
    changed_at_ms: int


def _check_label(field: str, name: str) -> tuple[errors.FieldViolation, ...]:
    try:
        msgspec.convert(name, validation.Name)
    except msgspec.ValidationError as error:
        return (errors.FieldViolation(field, str(error)),)
    return ()


def _list_names(spec: Spec | None) -> abc.Iterator[tuple[str, str]]:
    """List the names in a spec, each with its field."""
    if isinstance(spec, Rule):
        yield "service", spec.service
        yield "rank", spec.rank
        for position, portion in enumerate(spec.split):
            yield f"split[{position}].service", portion.service
    if isinstance(spec, Rule | Workspace):
        for position, region in enumerate(spec.regions):
            yield f"regions[{position}]", region


def _check_names(spec: Spec | None) -> tuple[errors.FieldViolation, ...]:
    """Check that an operator's spec refers to names that may be declared.

    Names that come from another system have fewer limits, and so have those
    of specs in general.
    """
    return tuple(
        fault
        for field, name in _list_names(spec)
        for fault in _check_label(field, name)
    )


def _check_name(kind: str, name: str) -> tuple[errors.FieldViolation, ...]:
    faults = _check_label("name", name)
    if faults:
        return faults
    required = _SINGLETON_NAMES.get(kind, name)
    if name != required:
        return (
            errors.FieldViolation("name", f"a {kind} is named {required}"),
        )
    return ()


def validate_spec(kind: str, name: str, raw: object) -> Spec:
    """Validate a declared resource without regard to other resources.

    :param raw: the spec as parsed from JSON.
    :returns: the validated spec.
    :raises ResourceError: with all faults, each with the field's path.
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
        for fault in (*faults, *_check_names(spec))
    )
    if spec is None or faults:
        raise errors.ResourceError(subject, faults)
    return spec
