"""What the instances of one service have in common, for one entry."""

from collections import abc
import dataclasses
import random
import statistics

from burdockdeal.membership import messages
from burdockdeal.routing import ejection
from burdockdeal.routing import state

#: A service with at most this many instances has them all weighed.
SMALL_INSTANCES = 8

#: Instances that reported last, kept as candidates.
POOL_INSTANCES = 6

_RANDOM_LOCAL = 2
_RANDOM_ANY = 2
_TRIALS = 2
_FILL_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceKey:
    """Names an instance: a daemon and its upstream's incarnation."""

    daemon: str
    incarnation: int


def make_key(member: messages.Member) -> InstanceKey:
    """Name the instance that a member's record stands for."""
    return InstanceKey(member.daemon, member.upstream_incarnation)


def _draw(
    members: abc.Sequence[messages.Member], count: int, chance: random.Random
) -> list[messages.Member]:
    return [
        members[int(chance.random() * len(members))]
        for _ in range(min(count, len(members)))
    ]


class InstanceGroup:
    """Holds a service's instances, its norm and its ejected ones.

    :param own: the entry's own daemon.
    :param failure_domain: the entry's own.
    """

    def __init__(self, own: str, failure_domain: str) -> None:
        self._own = own
        self._domain = failure_domain
        self._own_member: tuple[messages.Member, ...] = ()
        self._local: tuple[messages.Member, ...] = ()
        self._by_key: dict[InstanceKey, messages.Member] = {}
        self._pool: dict[InstanceKey, float] = {}
        self._ejected: dict[InstanceKey, None] = {}
        self._ejectable = 0
        self.members: tuple[messages.Member, ...] = ()
        self.norm = state.Norm()
        self.last_call_at = 0.0
        self.calls = 0

    def refresh(
        self, members: tuple[messages.Member, ...], share: float
    ) -> None:
        """Take in the service's instances.

        :param members: the same tuple while nothing has changed.
        :param share: the largest share that may be ejected.
        """
        self._ejectable = ejection.count_ejectable(len(members), share)
        if members is self.members:
            return
        self.members = members
        self._by_key = {make_key(member): member for member in members}
        self._local = tuple(
            member
            for member in members
            if member.failure_domain == self._domain
        )
        self._own_member = tuple(
            member for member in self._local if member.daemon == self._own
        )
        for held in (self._pool, self._ejected):
            for key in held.keys() - self._by_key.keys():
                del held[key]

    @property
    def pool(self) -> tuple[messages.Member, ...]:
        """The instances that reported last, the newest last."""
        return tuple(self._by_key[key] for key in self._pool)

    def may_eject(self, key: InstanceKey) -> bool:
        """Tell whether the service's cap leaves room for an instance."""
        return key in self._ejected or len(self._ejected) < self._ejectable

    def note_health(
        self, key: InstanceKey, health: state.InstanceHealth
    ) -> None:
        """Keep the set of the instances that are left out."""
        if key not in self._by_key:
            return
        self._ejected.pop(key, None)
        if ejection.awaits_trial(health):
            self._ejected[key] = None

    @property
    def ejected(self) -> int:
        """How many instances are left out."""
        return len(self._ejected)

    def note_report(self, key: InstanceKey, report: state.LoadReport) -> None:
        """Take an owner's report into the norm and the pool."""
        if key not in self._by_key or not report.slots:
            return
        self._pool.pop(key, None)
        self._pool[key] = report.service_ms / 1000
        if len(self._pool) > POOL_INSTANCES:
            del self._pool[next(iter(self._pool))]
        fill = (report.in_flight + report.waiting) / report.slots
        before = self.norm.fill
        times = [spent for spent in self._pool.values() if spent]
        self.norm = dataclasses.replace(
            self.norm,
            service_s=(
                statistics.median_low(times) if times else self.norm.service_s
            ),
            fill=before + _FILL_SMOOTHING * (fill - before),
        )

    def sample(
        self, tried: frozenset[str], chance: random.Random
    ) -> list[messages.Member]:
        """Draw the candidates for a call.

        All the instances of a small service; of a large one a bounded
        number: the entry's own, those that reported last, some at random
        and those that may be due for a trial.
        """
        if len(self.members) <= SMALL_INSTANCES:
            drawn: abc.Iterable[messages.Member] = self.members
        else:
            due = [
                self._by_key[key]
                for key, _ in zip(self._ejected, range(_TRIALS), strict=False)
            ]
            drawn = dict.fromkeys(
                [
                    *self._own_member,
                    *self.pool,
                    *_draw(self._local, _RANDOM_LOCAL, chance),
                    *_draw(self.members, _RANDOM_ANY, chance),
                    *due,
                ]
            )
        if not tried:
            return list(drawn)
        kept = [member for member in drawn if member.daemon not in tried]
        return kept or [
            member for member in self.members if member.daemon not in tried
        ]
