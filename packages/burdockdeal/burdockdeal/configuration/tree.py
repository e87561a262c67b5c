"""The tree along which changes and questions spread in a domain.

Names are split into ranges, and the daemon that is sent a range splits it
again by its own view. Ranges never overlap, so two views that differ for
a moment still ask no daemon twice.
"""

from collections import abc
import dataclasses

from burdockdeal.configuration import messages
from burdockdeal.membership import messages as membership
from burdockdeal.settings import model

#: Daemons that one daemon passes a change on to.
FANOUT = 10

#: For so long a daemon believed dead counts as not reached, in seconds.
DEAD_COUNTS_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """A range of names and the daemons that are known in it.

    :param first: the first name of the range.
    :param last: the name at which it ends, empty for no end.
    """

    first: str
    last: str
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """What one daemon believes of a failure domain.

    :param reachable: the daemons to ask, by name.
    :param missing: daemons that can't be asked and may serve on.
    :param lost: daemons believed dead for so long that they are no
        longer waited for.
    """

    name: str
    reachable: abc.Mapping[str, model.Address]
    missing: int = 0
    lost: int = 0


def choose(
    names: abc.Iterable[str],
    first: str,
    last: str,
    path: abc.Collection[str],
) -> tuple[str, ...]:
    """Choose the names of a range, in order.

    :param path: the daemons that passed the range on, to be left out.
    """
    return tuple(
        sorted(
            name
            for name in names
            if first <= name and (not last or name < last) and name not in path
        )
    )


def split(
    names: tuple[str, ...], first: str, last: str, *, fanout: int = FANOUT
) -> tuple[Branch, ...]:
    """Split a range into branches of nearly equal size.

    :param names: the daemons of the range, in order.
    :returns: branches that cover the range without overlap, none if
        there are no names.
    """
    count = min(fanout, len(names))
    cuts = [len(names) * index // count for index in range(count)]
    branches = []
    for index, begin in enumerate(cuts):
        end = cuts[index + 1] if index + 1 < count else len(names)
        branches.append(
            Branch(
                first=names[begin] if index else first,
                last=names[end] if end < len(names) else last,
                names=names[begin:end],
            )
        )
    return tuple(branches)


def combine(
    domain: str, answers: abc.Iterable[messages.Applied]
) -> messages.Applied:
    """Combine answers: the lowest revision of those that answered."""
    given = tuple(answers)
    heard = [answer.revision for answer in given if answer.daemons]
    return messages.Applied(
        failure_domain=domain,
        revision=min(heard, default=0),
        daemons=sum(answer.daemons for answer in given),
        unreached=sum(answer.unreached for answer in given),
        lost=sum(answer.lost for answer in given),
    )


def cover(answer: messages.Applied, expected: int) -> messages.Applied:
    """Count as unreached what an answer leaves out.

    :param expected: the daemons that the asker knows in the range.
    """
    missing = expected - answer.daemons - answer.unreached
    if missing <= 0:
        return answer
    return dataclasses.replace(answer, unreached=answer.unreached + missing)


def survey(
    members: abc.Iterable[membership.Member],
    remembered: abc.Iterable[str],
    dead_s: abc.Mapping[str, float],
) -> tuple[Domain, ...]:
    """Sort the members into failure domains.

    A daemon believed dead that did not leave may have been cut off and
    serve on. It counts as missing for a while, and for as long as its
    whole domain is out of reach, unless another runs at its address. A
    domain that was known and of which no record is left is missing as a
    whole: only one whose daemons all left is gone.

    :param remembered: domains that were known before.
    :param dead_s: how long each daemon has been believed dead, in
        seconds.
    """
    by_domain: dict[str, list[membership.Member]] = {
        name: [] for name in remembered
    }
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    surveyed = (
        _survey_domain(name, by_domain[name], dead_s)
        for name in sorted(by_domain)
    )
    return tuple(domain for domain in surveyed if domain is not None)


def _survey_domain(
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
    taken = set(reachable.values())
    dead = [
        member.daemon
        for member in members
        if member.health is membership.Health.DEAD and member.peer not in taken
    ]
    if not reachable:
        return Domain(name, {}, missing=len(dead)) if dead else None
    lost = sum(dead_s.get(daemon, 0.0) > DEAD_COUNTS_S for daemon in dead)
    return Domain(name, reachable, len(dead) - lost, lost)


def judge(
    generation: int, domains: abc.Sequence[messages.Applied]
) -> messages.Status:
    """Judge whether a generation is in force everywhere.

    A domain with a daemon that was not reached is never counted.
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
