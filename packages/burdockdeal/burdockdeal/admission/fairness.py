"""Fair order between the workspaces whose calls wait in one rank.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996), with each call
as one unit of service: the next call is that of the workspace that has had
the least service for its weight. A workspace that was idle gains no credit.
Answers the load of one workspace that sends several times its usual rate.
"""

from collections import abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """The calls of one workspace that wait in a rank.

    :param workspace: its name, empty for calls without one.
    :param weight: its share relative to the other workspaces.
    :param waiting: the number of its calls that wait.
    """

    workspace: str
    weight: float
    waiting: int

    @property
    def backlog(self) -> float:
        """The calls that wait, relative to the weight."""
        return self.waiting / self.weight


@dataclasses.dataclass(frozen=True, slots=True)
class FairShares:
    """How much service the workspaces have had.

    :param virtual_time: the start tag of the call that started last.
    :param finish_tags: the finish tag of the last call of each workspace
        whose tag is ahead of the virtual time; the others have none.
    """

    virtual_time: float = 0.0
    finish_tags: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def find_start_tag(self, workspace: str) -> float:
        """Return the start tag of the next call of a workspace."""
        return max(
            self.virtual_time,
            self.finish_tags.get(workspace, self.virtual_time),
        )


NO_SHARES = FairShares()


def record_start(
    shares: FairShares, workspace: str, weight: float
) -> FairShares:
    """Record that a call of a workspace starts."""
    start_tag = shares.find_start_tag(workspace)
    finish_tags = {
        name: tag
        for name, tag in shares.finish_tags.items()
        if tag > start_tag
    }
    finish_tags[workspace] = start_tag + 1 / weight
    return FairShares(start_tag, finish_tags)


def choose_workspace(shares: FairShares, workspaces: abc.Iterable[str]) -> str:
    """Choose the workspace whose call starts next.

    :param workspaces: those with a call that can start, at least one, in the
        order in which their first calls are due.
    """
    return min(workspaces, key=shares.find_start_tag)


def count_ahead(
    shares: FairShares,
    flows: abc.Iterable[Flow],
    workspace: str,
    weight: float,
) -> int:
    """Count the waiting calls that start before one that arrives now.

    :param flows: the workspaces with waiting calls.
    :param workspace: the workspace of the call that arrives.
    :param weight: the weight of that workspace.
    """
    waiting = {flow.workspace: flow for flow in flows}
    own = waiting.pop(workspace, Flow(workspace, weight, 0))
    own_tag = shares.find_start_tag(workspace) + own.waiting / weight
    ahead = own.waiting
    for flow in waiting.values():
        lead = own_tag - shares.find_start_tag(flow.workspace)
        ahead += max(0, min(flow.waiting, math.ceil(lead * flow.weight)))
    return ahead


def choose_shed_workspace(
    flows: abc.Iterable[Flow], workspace: str, weight: float
) -> str | None:
    """Choose the workspace whose newest call makes room for another one.

    :param flows: the workspaces with waiting calls.
    :param workspace: the workspace of the call that arrives.
    :param weight: the weight of that workspace.
    :returns: the one with the most waiting for its weight; None if that is
        the arriving call's own, which is then refused itself.
    """
    waiting = {flow.workspace: flow for flow in flows}
    own = waiting.get(workspace, Flow(workspace, weight, 0))
    heaviest = max(
        waiting.values(), key=lambda flow: flow.backlog, default=own
    )
    has_more = heaviest.backlog > (own.waiting + 1) / weight
    return heaviest.workspace if has_more else None
