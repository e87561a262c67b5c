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

_GONE = (membership.Health.DEAD, membership.Health.LEFT)


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
    :param lost: daemons believed dead that did not leave.
    """

    name: str
    reachable: abc.Mapping[str, model.Address]
    lost: int


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
    members: abc.Iterable[membership.Member], remembered: abc.Iterable[str]
) -> tuple[Domain, ...]:
    """Sort the members into failure domains.

    A daemon believed dead that did not leave counts as lost, unless
    another runs at its address since. A domain that was known and of
    which no record is left is lost as a whole: only one whose daemons
    all left is gone.

    :param remembered: domains that were known before.
    """
    by_domain: dict[str, list[membership.Member]] = {
        name: [] for name in remembered
    }
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    surveyed = (
        _survey_domain(name, by_domain[name]) for name in sorted(by_domain)
    )
    return tuple(domain for domain in surveyed if domain is not None)


def _survey_domain(
    name: str, members: list[membership.Member]
) -> Domain | None:
    if not members:
        return Domain(name, {}, 1)
    reachable = {
        member.daemon: member.peer
        for member in members
        if member.health not in _GONE
    }
    taken = set(reachable.values())
    lost = sum(
        member.health is membership.Health.DEAD and member.peer not in taken
        for member in members
    )
    if not reachable and not lost:
        return None
    return Domain(name, reachable, lost)


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
    return messages.Status(
        conditions=(
            messages.Condition("Accepted", True, "InLog", ""),
            messages.Condition(
                "InForceEverywhere",
                everywhere,
                "AllDomains" if everywhere else "DomainsBehind",
                "" if everywhere else "not yet in " + ", ".join(behind),
            ),
        ),
        domains=tuple(domains),
    )
