"""From a caller's request to a call: rule, rank, deadline and depth."""

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

#: Methods that HTTP itself calls idempotent and safe.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledConfiguration:
    """A configuration, ready for use on the path of requests."""

    revision: int
    match: rules.MatchRule
    services: abc.Mapping[str, resources.Service]
    ranks: abc.Mapping[str, resources.Rank]
    callers: resources.CallerLimits | None = None


def compile_configuration(
    configuration: state.Configuration,
) -> CompiledConfiguration:
    """Make a configuration ready for use."""

    def specs(kind: str) -> dict[str, resources.Spec]:
        return {
            resource.name: resource.spec
            for resource in configuration.of_kind(kind)
        }

    return CompiledConfiguration(
        revision=configuration.revision,
        match=rules.compile_rules(configuration),
        services=specs("Service"),
        ranks=specs("Rank"),
        callers=specs("CallerLimits").get(resources.CALLER_LIMITS_NAME),
    )


def _choose_rank(
    snapshot: CompiledConfiguration, rule: resources.Rule, wanted: str | None
) -> str:
    """Let a caller lower its rank, never raise it."""
    if wanted is None:
        return rule.rank
    if wanted not in snapshot.ranks:
        detail = f"no rank is named {wanted!r}"
        raise errors.NotRunError(verdict.Reason.UNKNOWN_RANK, detail)
    own = snapshot.ranks[rule.rank].urgency
    return wanted if snapshot.ranks[wanted].urgency > own else rule.rank


def classify_request(
    snapshot: CompiledConfiguration,
    method: str,
    path: str,
    host: str,
    terms: header_codec.RequestMetadata,
    *,
    request_id: str,
    now: float,
    body_bytes: int = 0,
    choose_service: abc.Callable[[resources.Rule], str],
) -> call.Call:
    """Make a call of a request.

    :param host: the Host header.
    :param terms: what the caller says of it.
    :param now: monotonic time in seconds.
    :param body_bytes: the length of the body, as far as it is known.
    :param choose_service: chooses among the services of a rule.
    :raises NotRunError: if no rule fits or a header is wrong.
    """
    rule = snapshot.match(method, path, host)
    if rule is None:
        raise errors.NotRunError(
            verdict.Reason.NO_RULE, f"no rule fits {method} {path}"
        )
    service = choose_service(rule)
    if service not in snapshot.services:
        raise errors.NotRunError(verdict.Reason.UNKNOWN_SERVICE)
    if terms.depth >= call.MAX_DEPTH:
        raise errors.NotRunError(verdict.Reason.TOO_DEEP)
    allowed_ms = rule.deadline_ms
    if terms.timeout_ms is not None:
        allowed_ms = min(allowed_ms, terms.timeout_ms)
    by_method = rule.safe_methods and method in _SAFE_METHODS
    return call.Call(
        request_id=request_id,
        service=service,
        rank=_choose_rank(snapshot, rule, terms.rank),
        deadline=now + allowed_ms / 1000,
        depth=terms.depth,
        retry_tokens=retry.grant(terms.depth, terms.retry_tokens),
        idempotent=rule.idempotent or by_method,
        idempotency_key=terms.idempotency_key,
        max_sends=rule.most_sends,
        body_bytes=body_bytes,
    )
