"""From a caller's request to a call: rule, rank, deadline and depth."""

from collections import abc
import dataclasses

from burdockdeal.configuration import resources
from burdockdeal.configuration import rules
from burdockdeal.configuration import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.retry import decisions as retry

#: Methods that HTTP itself calls idempotent and safe.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A configuration, ready for use on the path of requests."""

    revision: int
    match: rules.MatchRule
    services: abc.Mapping[str, resources.Service]
    ranks: abc.Mapping[str, resources.Rank]


def build_snapshot(configuration: state.Configuration) -> Snapshot:
    """Make a configuration ready for use."""

    def specs(kind: str) -> dict[str, resources.Spec]:
        return {
            resource.name: resource.spec
            for resource in configuration.of_kind(kind)
        }

    return Snapshot(
        revision=configuration.revision,
        match=rules.compile_rules(configuration),
        services=specs("Service"),
        ranks=specs("Rank"),
    )


def _read_number(
    given: abc.Mapping[str, str], name: str, default: float
) -> float:
    raw = given.get(name)
    if raw is None:
        return default
    try:
        number = float(raw)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e9:
        detail = f"{name} is not a number from 0"
        raise errors.NotRunError(verdict.Reason.MALFORMED, detail)
    return number


def _read_tokens(given: abc.Mapping[str, str]) -> int | None:
    if headers.RETRY_TOKENS not in given:
        return None
    return int(_read_number(given, headers.RETRY_TOKENS, 0))


def _choose_rank(
    snapshot: Snapshot, rule: resources.Rule, wanted: str | None
) -> str:
    """Let a caller lower its rank, never raise it."""
    if wanted is None:
        return rule.rank
    if wanted not in snapshot.ranks:
        detail = f"no rank is named {wanted!r}"
        raise errors.NotRunError(verdict.Reason.UNKNOWN_RANK, detail)
    own = snapshot.ranks[rule.rank].urgency
    return wanted if snapshot.ranks[wanted].urgency > own else rule.rank


def classify(
    snapshot: Snapshot,
    method: str,
    path: str,
    given: abc.Mapping[str, str],
    *,
    request_id: str,
    now: float,
) -> call.Call:
    """Make a call of a request.

    :param given: the request's headers.
    :param now: monotonic time in seconds.
    :raises NotRunError: if no rule fits or a header is wrong.
    """
    rule = snapshot.match(method, path, given.get("Host", ""))
    if rule is None:
        raise errors.NotRunError(
            verdict.Reason.NO_RULE, f"no rule fits {method} {path}"
        )
    if rule.service not in snapshot.services:
        raise errors.NotRunError(verdict.Reason.UNKNOWN_SERVICE)
    depth = int(_read_number(given, headers.DEPTH, 0))
    if depth >= call.MAX_DEPTH:
        raise errors.NotRunError(verdict.Reason.TOO_DEEP)
    allowed_ms = min(
        _read_number(given, headers.DEADLINE_MS, rule.deadline_ms),
        rule.deadline_ms,
    )
    return call.Call(
        request_id=request_id,
        service=rule.service,
        rank=_choose_rank(snapshot, rule, given.get(headers.RANK)),
        deadline=now + allowed_ms / 1000,
        depth=depth,
        retry_tokens=retry.grant(depth, _read_tokens(given)),
        idempotent=rule.idempotent or method in _SAFE_METHODS,
        idempotency_key=given.get(headers.IDEMPOTENCY_KEY),
    )
