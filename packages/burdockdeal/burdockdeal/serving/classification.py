"""Classification of a request: rule, workspace, service, rank, deadline."""

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
from burdockdeal.workspaces import decisions as workspaces
from burdockdeal.workspaces import state as workspaces_state

#: Methods that HTTP defines as safe, and so as idempotent.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

_NO_WORKSPACE = resources.Workspace()

#: Urgency, target, floor and late share of a rank.
_RankTerms = tuple[int, float, float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledConfiguration:
    """A configuration, indexed for use on the request path.

    :param revision: the configuration's revision.
    :param match: finds the rule for a method, path and host.
    :param services: the services by name.
    :param ranks: the ranks by name.
    :param caller_limits: limits of callers, None if none are configured.
    :param workspaces: the workspaces and their keys.
    :param rank_names: the name of the rank with a given urgency, target,
        floor and late share.
    """

    revision: int
    match: rules.MatchRule
    services: abc.Mapping[str, resources.Service]
    ranks: abc.Mapping[str, resources.Rank]
    caller_limits: resources.CallerLimits | None = None
    workspaces: workspaces_state.WorkspaceIndex = workspaces_state.EMPTY_INDEX
    rank_names: abc.Mapping[_RankTerms, str] = dataclasses.field(
        default_factory=dict
    )


def compile_configuration(
    configuration: state.Configuration,
) -> CompiledConfiguration:
    """Index a configuration for use on the request path."""

    def index_specs(kind: str) -> dict[str, resources.Spec]:
        return {
            resource.name: resource.spec
            for resource in configuration.of_kind(kind)
        }

    ranks = index_specs("Rank")
    return CompiledConfiguration(
        revision=configuration.revision,
        match=rules.compile_rules(configuration),
        services=index_specs("Service"),
        ranks=ranks,
        caller_limits=index_specs("CallerLimits").get(
            resources.CALLER_LIMITS_NAME
        ),
        workspaces=workspaces.index_workspaces(index_specs("Workspace")),
        rank_names={
            _find_terms(rank, rank.urgency): name
            for name, rank in ranks.items()
        },
    )


def _find_terms(rank: resources.Rank, urgency: int) -> _RankTerms:
    return (urgency, rank.target_ms, rank.floor, rank.late_share)


def _apply_urgency(
    configuration: CompiledConfiguration, name: str, urgency: int | None
) -> str:
    """Return the rank with the urgency of a workspace, if there is one."""
    rank = configuration.ranks.get(name)
    if rank is None or urgency is None:
        return name
    terms = _find_terms(rank, urgency)
    return configuration.rank_names.get(terms, name)


def _choose_rank(
    configuration: CompiledConfiguration,
    rule: resources.Rule,
    requested: str | None,
    urgency: int | None = None,
) -> str:
    """Choose the rank: a caller may lower it, never raise it.

    :param requested: the rank that the caller asks for, None for none.
    :param urgency: the urgency of the caller's workspace, None to keep that
        of the rule.
    """
    own = _apply_urgency(configuration, rule.rank, urgency)
    if requested is None:
        return own
    if requested not in configuration.ranks:
        detail = f"no rank is named {requested!r}"
        raise errors.NotRunError(verdict.Reason.UNKNOWN_RANK, detail)
    own_urgency = _find_urgency(configuration, own)
    requested_urgency = configuration.ranks[requested].urgency
    is_lower = own_urgency is not None and requested_urgency > own_urgency
    return requested if is_lower else own


def _find_urgency(
    configuration: CompiledConfiguration, name: str
) -> int | None:
    rank = configuration.ranks.get(name)
    return rank.urgency if rank else None


def find_nearest_rank(
    ranks: abc.Mapping[str, resources.Rank], name: str, urgency: int | None
) -> tuple[str, resources.Rank] | None:
    """Find the rank of a call that another daemon has classified.

    That daemon may have a newer configuration, or an older one, so that this
    one doesn't know the rank yet, or no more.

    :param urgency: the order of priority of the rank, None if not known.
    :returns: the rank itself, or else the one of the nearest urgency, the
        least urgent one if that is not known; None if there is no rank.
    """
    if name in ranks:
        return name, ranks[name]

    def measure_distance(item: tuple[str, resources.Rank]) -> tuple:
        candidate, rank = item
        distance = 0 if urgency is None else abs(rank.urgency - urgency)
        return distance, -rank.urgency, candidate

    return min(ranks.items(), key=measure_distance, default=None)


def _combine_regions(
    rule: resources.Rule, workspace: resources.Workspace
) -> frozenset[str]:
    allowed = workspaces.combine_regions(rule.regions, workspace.regions)
    if allowed is None:
        raise errors.NotRunError(
            verdict.Reason.NO_REGION,
            "the rule and the workspace have no region in common",
        )
    return allowed


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
    :raises NotRunError: if no rule matches, the key is refused, no region is
        allowed, or a name or the nesting depth is invalid.
    """
    rule = configuration.match(method, path, host)
    if rule is None:
        raise errors.NotRunError(
            verdict.Reason.NO_RULE, f"no rule fits {method} {path}"
        )
    identity = workspaces.identify(
        configuration.workspaces,
        metadata.workspace_key,
        allow_anonymous=rule.allow_anonymous,
    )
    workspace = configuration.workspaces.workspaces.get(
        identity.workspace, _NO_WORKSPACE
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
    rank = _choose_rank(configuration, rule, metadata.rank, workspace.urgency)
    return call.Call(
        request_id=request_id,
        service=service,
        rank=rank,
        deadline=now + timeout_ms / 1000,
        depth=metadata.depth,
        retry_tokens=retry.grant_tokens(metadata.depth, metadata.retry_tokens),
        idempotent=rule.idempotent or is_safe,
        idempotency_key=metadata.idempotency_key,
        max_sends=rule.most_sends,
        body_bytes=body_bytes,
        workspace=identity.workspace,
        key_id=identity.key_id,
        regions=_combine_regions(rule, workspace),
        revision=configuration.revision,
        urgency=_find_urgency(configuration, rank),
    )
