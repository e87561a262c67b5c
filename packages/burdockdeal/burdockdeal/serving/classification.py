"""Classification of a request: its rule, service, rank and deadline."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources
from burdockdeal.configuration import rules
from burdockdeal.configuration import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.retry import decisions as retry
from burdockdeal.serving import header_codec

#: Methods that HTTP defines as safe, and so as idempotent.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledConfiguration:
    """A configuration, indexed for use on the request path.

    :param revision: the configuration's revision.
    :param match: finds the rule for a method, path and host.
    :param services: the services by name.
    :param ranks: the ranks by name.
    :param caller_limits: limits of callers, None if none are configured.
    """

    revision: int
    match: rules.MatchRule
    services: abc.Mapping[str, resources.Service]
    ranks: abc.Mapping[str, resources.Rank]
    caller_limits: resources.CallerLimits | None = None


def compile_configuration(
    configuration: state.Configuration,
) -> CompiledConfiguration:
    """Index a configuration for use on the request path."""

    def index_specs(kind: str) -> dict[str, resources.Spec]:
        return {
            resource.name: resource.spec
            for resource in configuration.of_kind(kind)
        }

    return CompiledConfiguration(
        revision=configuration.revision,
        match=rules.compile_rules(configuration),
        services=index_specs("Service"),
        ranks=index_specs("Rank"),
        caller_limits=index_specs("CallerLimits").get(
            resources.CALLER_LIMITS_NAME
        ),
    )


def _choose_rank(
    configuration: CompiledConfiguration,
    rule: resources.Rule,
    requested: str | None,
) -> str:
    """Choose the rank: a caller may lower its rule's rank, never raise it."""
    if requested is None:
        return rule.rank
    if requested not in configuration.ranks:
        detail = f"no rank is named {requested!r}"
        raise errors.NotRunError(verdict.Reason.UNKNOWN_RANK, detail)
    rule_urgency = configuration.ranks[rule.rank].urgency
    return (
        requested
        if configuration.ranks[requested].urgency > rule_urgency
        else rule.rank
    )


def classify_request(
    configuration: CompiledConfiguration,
    method: str,
    path: str,
    host: str,
    metadata: header_codec.RequestMetadata,
    *,
    request_id: str,
    now: float,
    body_bytes: int = 0,
    choose_service: abc.Callable[[resources.Rule], str],
) -> call.Call:
    """Convert a caller's request to a call.

    :param configuration: the configuration in force.
    :param host: the Host header.
    :param metadata: the caller's deadline, rank, depth and keys.
    :param now: monotonic time in seconds.
    :param body_bytes: length of the body, 0 if it is unknown.
    :param choose_service: chooses among the services of a rule.
    :raises NotRunError: if no rule matches, or a name or the nesting depth
        is invalid.
    """
    rule = configuration.match(method, path, host)
    if rule is None:
        raise errors.NotRunError(
            verdict.Reason.NO_RULE, f"no rule fits {method} {path}"
        )
    service = choose_service(rule)
    if service not in configuration.services:
        raise errors.NotRunError(verdict.Reason.UNKNOWN_SERVICE)
    if metadata.depth >= call.MAX_DEPTH:
        raise errors.NotRunError(verdict.Reason.TOO_DEEP)
    timeout_ms = rule.deadline_ms
    if metadata.timeout_ms is not None:
        timeout_ms = min(timeout_ms, metadata.timeout_ms)
    is_safe = rule.safe_methods and method in _SAFE_METHODS
    return call.Call(
        request_id=request_id,
        service=service,
        rank=_choose_rank(configuration, rule, metadata.rank),
        deadline=now + timeout_ms / 1000,
        depth=metadata.depth,
        retry_tokens=retry.grant_tokens(metadata.depth, metadata.retry_tokens),
        idempotent=rule.idempotent or is_safe,
        idempotency_key=metadata.idempotency_key,
        max_sends=rule.most_sends,
        body_bytes=body_bytes,
    )
