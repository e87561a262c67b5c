"""The instances of one service: baseline, candidates and ejection cap."""

from collections import abc
import dataclasses
import random
import statistics

from burdockdeal.core import load_report
from burdockdeal.membership import messages
from burdockdeal.routing import ejection
from burdockdeal.routing import state

#: With at most this many instances, all of them are candidates.
SMALL_SERVICE_INSTANCES = 8

#: Number of instances with the latest load reports kept as candidates.
MAX_RECENT_INSTANCES = 6

#: Number of random candidates in the own failure domain and in all of them.
#: Asking one in the own domain costs little, so that several are compared.
#: Where there are several regions, so are some of the own one.
_RANDOM_LOCAL_CANDIDATES = 4
_RANDOM_REGION_CANDIDATES = 3
_RANDOM_CANDIDATES = 2
_TRIAL_CANDIDATES = 2
_UTILIZATION_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceKey:
    """Identifies an instance by its daemon and its upstream's incarnation."""

    daemon: str
    incarnation: int


def make_key(member: messages.Member) -> InstanceKey:
    """Make the key of the instance of a membership record."""
    return InstanceKey(member.daemon, member.upstream_incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class _Pool:
    """The instances that a call may be sent to, and the near ones of them."""

    members: tuple[messages.Member, ...] = ()
    local: tuple[messages.Member, ...] = ()
    in_region: tuple[messages.Member, ...] = ()


def _restrict(
    members: tuple[messages.Member, ...], regions: frozenset[str]
) -> tuple[messages.Member, ...]:
    return tuple(member for member in members if member.region in regions)


def _draw_random(
    members: abc.Sequence[messages.Member], count: int, rng: random.Random
) -> list[messages.Member]:
    if len(members) <= count:
        return list(members)
    return [members[int(rng.random() * len(members))] for _ in range(count)]


def _draw_from_region(
    pool: _Pool, rng: random.Random
) -> list[messages.Member]:
    """Draw instances of the own region, if there is another region."""
    if len(pool.in_region) == len(pool.members):
        return []
    return _draw_random(pool.in_region, _RANDOM_REGION_CANDIDATES, rng)


class InstanceGroup:
    """Holds the instances of a service, their baseline and the ejected ones.

    :param own_daemon: the name of this daemon.
    :param failure_domain: the failure domain of this daemon.
    :param region: the region of this daemon.
    """

    def __init__(
        self, own_daemon: str, failure_domain: str, region: str = ""
    ) -> None:
        self._own_daemon = own_daemon
        self._failure_domain = failure_domain
        self._region = region
        self._region_members: tuple[messages.Member, ...] = ()
        self._own_member: tuple[messages.Member, ...] = ()
        self._local_members: tuple[messages.Member, ...] = ()
        self._pools: dict[frozenset[str], _Pool] = {}
        self._by_key: dict[InstanceKey, messages.Member] = {}
        self._recent_reports: dict[InstanceKey, float] = {}
        self._ejected: dict[InstanceKey, None] = {}
        self._ejection_cap = 0
        self.members: tuple[messages.Member, ...] = ()
        self.baseline = state.Baseline()
        self.last_call_at = 0.0
        self.calls = 0

    def update_members(
        self, members: tuple[messages.Member, ...], share: float
    ) -> None:
        """Update the instances of the service.

        :param members: the serving instances; the same tuple object as
            long as nothing has changed.
        :param share: the maximum share of instances that may be ejected.
        """
        self._ejection_cap = ejection.find_ejection_cap(len(members), share)
        if members is self.members:
            return
        self.members = members
        self._pools = {}
        self._by_key = {make_key(member): member for member in members}
        self._local_members = tuple(
            member
            for member in members
            if member.failure_domain == self._failure_domain
        )
        self._region_members = tuple(
            member for member in members if member.region == self._region
        )
        self._own_member = tuple(
            member
            for member in self._local_members
            if member.daemon == self._own_daemon
        )
        for held in (self._recent_reports, self._ejected):
            for key in held.keys() - self._by_key.keys():
                del held[key]

    def _find_pool(self, regions: frozenset[str]) -> _Pool:
        """Find the instances in some regions, in all if none is given."""
        if not regions:
            return _Pool(
                self.members, self._local_members, self._region_members
            )
        pool = self._pools.get(regions)
        if pool is None:
            pool = self._pools[regions] = _Pool(
                _restrict(self.members, regions),
                _restrict(self._local_members, regions),
                _restrict(self._region_members, regions),
            )
        return pool

    def list_members(
        self, regions: frozenset[str]
    ) -> tuple[messages.Member, ...]:
        """List the instances in some regions, in all if none is given."""
        return self._find_pool(regions).members

    @property
    def recent_reporters(self) -> tuple[messages.Member, ...]:
        """The instances with the latest load reports, in order of arrival."""
        return tuple(self._by_key[key] for key in self._recent_reports)

    def may_eject(self, key: InstanceKey) -> bool:
        """Return whether an ejection keeps within the service's cap."""
        return key in self._ejected or len(self._ejected) < self._ejection_cap

    def record_health(
        self, key: InstanceKey, health: state.InstanceHealth
    ) -> None:
        """Update whether an instance counts as ejected."""
        if key not in self._by_key:
            return
        self._ejected.pop(key, None)
        if ejection.awaits_trial(health):
            self._ejected[key] = None

    @property
    def ejected_count(self) -> int:
        """The number of ejected instances."""
        return len(self._ejected)

    def record_report(
        self, key: InstanceKey, report: load_report.LoadReport
    ) -> None:
        """Update the baseline and the latest reporters from a load report."""
        if key not in self._by_key or not report.slots:
            return
        self._recent_reports.pop(key, None)
        self._recent_reports[key] = report.service_ms / 1000
        if len(self._recent_reports) > MAX_RECENT_INSTANCES:
            del self._recent_reports[next(iter(self._recent_reports))]
        utilization = (report.in_flight + report.waiting) / report.slots
        before = self.baseline.utilization
        times = [spent for spent in self._recent_reports.values() if spent]
        self.baseline = dataclasses.replace(
            self.baseline,
            service_s=(
                statistics.median_low(times)
                if times
                else self.baseline.service_s
            ),
            utilization=before
            + _UTILIZATION_SMOOTHING * (utilization - before),
        )

    def sample(
        self,
        tried: frozenset[str],
        rng: random.Random,
        regions: frozenset[str] = frozenset(),
    ) -> list[messages.Member]:
        """Draw the candidates for a call.

        Returns all instances of a small service. For a large one returns a
        bounded number, so that the cost of a choice does not grow with the
        service: this daemon's own instance, the latest reporters, some
        random ones of the own failure domain, the own region and all, and
        ejected ones that may be due for a trial call.

        :param tried: names of the daemons that are left out.
        :param regions: the regions of the candidates, empty for all.
        """
        pool = self._find_pool(regions)
        if len(pool.members) <= SMALL_SERVICE_INSTANCES:
            drawn: abc.Iterable[messages.Member] = pool.members
        else:
            due = [
                self._by_key[key]
                for key, _ in zip(
                    self._ejected, range(_TRIAL_CANDIDATES), strict=False
                )
            ]
            drawn = dict.fromkeys(
                [
                    *self._own_member,
                    *self.recent_reporters,
                    *_draw_random(pool.local, _RANDOM_LOCAL_CANDIDATES, rng),
                    *_draw_from_region(pool, rng),
                    *_draw_random(pool.members, _RANDOM_CANDIDATES, rng),
                    *due,
                ]
            )
            if regions:
                drawn = [each for each in drawn if each.region in regions]
        if not tried:
            return list(drawn)
        untried = [member for member in drawn if member.daemon not in tried]
        return untried or [
            member for member in pool.members if member.daemon not in tried
        ]
