"""The tree by which changes and queries reach all daemons of a domain.

The daemons' names are split into ranges. The daemon that receives a range
splits it again by its own view of the membership. Ranges never overlap, so
no daemon is asked twice even while two views differ.
"""

from collections import abc
import dataclasses

from burdockdeal.configuration import messages
from burdockdeal.membership import messages as membership
from burdockdeal.settings import model

#: Maximum number of daemons to which one daemon forwards a change.
FANOUT = 10

#: Seconds for which a daemon believed dead still counts as unreached.
DEAD_GRACE_PERIOD_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """A range of daemon names and the known daemons in it.

    :param first: the first name of the range, inclusive.
    :param last: the name at which it ends, exclusive; empty for no end.
    :param names: the known daemons of the range, in order.
    """

    first: str
    last: str
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """One daemon's view of a failure domain.

    :param reachable: the addresses of the daemons to ask, by name.
    :param missing: the number of daemons that can't be asked but may still
        be serving.
    :param lost: the number of daemons believed dead for longer than
        DEAD_GRACE_PERIOD_S, which no longer hold up a status.
    """

    name: str
    reachable: abc.Mapping[str, model.Address]
    missing: int = 0
    lost: int = 0


def select_range(
    names: abc.Iterable[str],
    first: str,
    last: str,
    path: abc.Collection[str],
) -> tuple[str, ...]:
    """Return the names within a range, in order.

    :param first: the first name of the range, inclusive.
    :param last: the name at which it ends, exclusive; empty for no end.
    :param path: the daemons that forwarded the range, to be left out.
    """
    return tuple(
        sorted(
            name
            for name in names
            if first <= name and (not last or name < last) and name not in path
        )
    )


def split_range(
    names: tuple[str, ...], first: str, last: str, *, fanout: int = FANOUT
) -> tuple[Branch, ...]:
    """Split a range into branches of nearly equal size.

    :param names: the known daemons of the range, in order.
    :param first: the first name of the range, inclusive.
    :param last: the name at which it ends, exclusive; empty for no end.
    :param fanout: maximum number of branches.
    :returns: branches that cover the range without overlap, none if there
        are no names.
    """
    count = min(fanout, len(names))
    starts = [len(names) * index // count for index in range(count)]
    branches = []
    for index, start in enumerate(starts):
        end = starts[index + 1] if index + 1 < count else len(names)
        branches.append(
            Branch(
                first=names[start] if index else first,
                last=names[end] if end < len(names) else last,
                names=names[start:end],
            )
        )
    return tuple(branches)


def aggregate(
    domain: str, answers: abc.Iterable[messages.Applied]
) -> messages.Applied:
    """Combine the answers for a domain.

    The revision is the lowest among the answers that count at least one
    daemon; the numbers of daemons are added up.
    """
    collected = tuple(answers)
    revisions = [answer.revision for answer in collected if answer.daemons]
    return messages.Applied(
        failure_domain=domain,
        revision=min(revisions, default=0),
        daemons=sum(answer.daemons for answer in collected),
        unreached=sum(answer.unreached for answer in collected),
        lost=sum(answer.lost for answer in collected),
    )


def add_unaccounted(
    answer: messages.Applied, expected: int
) -> messages.Applied:
    """Count the daemons that an answer leaves out as unreached.

    :param expected: the number of daemons that the sender knows in the
        range.
    """
    missing = expected - answer.daemons - answer.unreached
    if missing <= 0:
        return answer
    return dataclasses.replace(answer, unreached=answer.unreached + missing)


def group_by_domain(
    members: abc.Iterable[membership.Member],
    remembered: abc.Iterable[str],
    dead_s: abc.Mapping[str, float],
) -> tuple[Domain, ...]:
    """Group the members by failure domain.

    A daemon that is believed dead and did not leave may only be cut off and
    still be serving. It counts as missing for DEAD_GRACE_PERIOD_S, and for
    as long as its whole domain is unreachable, unless another daemon runs
    at its address. A domain that was known before and of which no member is
    left on record counts as one missing daemon. A domain is left out only
    once all its daemons have left.

    :param remembered: the names of domains that were known before.
    :param dead_s: seconds since each daemon has been believed dead, by
        name.
    :returns: the domains, sorted by name.
    """
    by_domain: dict[str, list[membership.Member]] = {
        name: [] for name in remembered
    }
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    summaries = (
        _summarize_domain(name, by_domain[name], dead_s)
        for name in sorted(by_domain)
    )
    return tuple(domain for domain in summaries if domain is not None)


def _summarize_domain(
    name: str,
    members: list[membership.Member],
    dead_s: abc.Mapping[str, float],
) -> Domain | None:
    if not members:
        return Domain(name, {}, missing=1)
    reachable = {
        member.daemon: member.peer
        for member in members
        if member.health not in membership.INACTIVE_HEALTHS
    }
    used_addresses = set(reachable.values())
    dead = [
        member.daemon
        for member in members
        if member.health is membership.Health.DEAD
        and member.peer not in used_addresses
    ]
    if not reachable:
        return Domain(name, {}, missing=len(dead)) if dead else None
    lost = sum(
        dead_s.get(daemon, 0.0) > DEAD_GRACE_PERIOD_S for daemon in dead
    )
    return Domain(name, reachable, len(dead) - lost, lost)


def evaluate_status(
    generation: int, domains: abc.Sequence[messages.Applied]
) -> messages.Status:
    """Evaluate whether a generation is in force everywhere.

    A domain with an unreached daemon always counts as behind.

    :param generation: the generation, which is a revision of the log.
    :param domains: what each failure domain applies.
    """
    behind = [
        domain.failure_domain
        for domain in domains
        if domain.unreached
        or not domain.daemons
        or domain.revision < generation
    ]
    everywhere = bool(domains) and not behind
    lost = sum(domain.lost for domain in domains)
    reason, message = "AllDomains", ""
    if not everywhere:
        reason = "DomainsBehind"
        message = "not yet in " + ", ".join(behind)
    elif lost:
        reason = "AllReachable"
        message = f"{lost} daemons believed dead are not counted"
    return messages.Status(
        conditions=(
            messages.Condition("Accepted", True, "InLog", ""),
            messages.Condition(
                "InForceEverywhere", everywhere, reason, message
            ),
        ),
        domains=tuple(domains),
    )
