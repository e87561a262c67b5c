"""The sending side of probes: asks owners for their load, within a budget."""

import asyncio
from collections import abc
import random

import aiohttp
import mode

from burdockdeal.configuration import state as configuration
from burdockdeal.core import codec
from burdockdeal.core import event_log
from burdockdeal.core import headers
from burdockdeal.measurement import decisions
from burdockdeal.measurement import messages
from burdockdeal.measurement import state
from burdockdeal.membership import messages as membership
from burdockdeal.routing import instance_group
from burdockdeal.routing import tracking
from burdockdeal.settings import model

PATH = "/v1/peer/load"

#: Bytes of a response with its headers, and of the packets' own headers.
RESPONSE_BYTES = 512
FRAMING_BYTES = 160

#: Bytes of a request's line and headers without the peer token.
REQUEST_BYTES = 192

#: Status with which a receiver refuses a probe beyond its budget.
_REFUSED = 429

#: Seconds for which a service counts as in use after a call to it.
_ACTIVE_S = 1.0

#: Seconds between two rounds of probes, with and without services in use. No
#: instance is probed more often than in every round.
_PERIOD_S = decisions.MIN_INTERVAL_S
_IDLE_PERIOD_S = 1.0

#: Headers that aiohttp would add; leaving them out keeps a probe small.
_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


def compute_probe_bytes(peer_token: str) -> int:
    """Return the bytes that one probe costs at most.

    :param peer_token: sent with each probe.
    """
    return REQUEST_BYTES + len(peer_token) + RESPONSE_BYTES + FRAMING_BYTES


class Prober(mode.Service):
    """Keeps the load reports recent of the instances that this entry calls.

    :param session: connections to other daemons.
    :param rng: samples the instances to consider.
    :param get_configuration: returns the configuration in force.
    """

    def __init__(
        self,
        settings: model.Settings,
        tracker: tracking.InstanceTracker,
        session: aiohttp.ClientSession,
        rng: random.Random,
        get_configuration: abc.Callable[[], configuration.Configuration],
    ) -> None:
        super().__init__()
        self._own_name = settings.daemon
        self._token = settings.peer_token
        self._size = compute_probe_bytes(settings.peer_token)
        self._tracker = tracker
        self._session = session
        self._rng = rng
        self._get_configuration = get_configuration
        self._window = state.CostWindow()
        self._credit = 0.0
        self._answers = 0
        self._probed_at: dict[instance_group.InstanceKey, float] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.bytes = 0

    @mode.Service.task
    async def _probe_forever(self) -> None:
        while not self.should_stop:
            active = self._find_active()
            if active:
                self._send_probes(active)
            await self.sleep(_PERIOD_S if active else _IDLE_PERIOD_S)

    async def on_stop(self) -> None:
        """Cancel the probes in flight."""
        for task in tuple(self._probes):
            task.cancel()

    def _find_active(self) -> list[instance_group.InstanceGroup]:
        now = self._tracker.clock()
        return [
            known
            for known in self._tracker.groups.values()
            if now - known.last_call_at < _ACTIVE_S
        ]

    def _send_probes(self, active: list[instance_group.InstanceGroup]) -> None:
        now = self._tracker.clock()
        answers = self._tracker.responses
        self._credit = decisions.add_credit(
            self._credit, answers - self._answers
        )
        self._answers = answers
        targets = {
            member.daemon: member
            for known in active
            for member in known.sample(frozenset({self._own_name}), self._rng)
        }
        self._drop_old_probe_times(now)
        candidates = [
            self._make_candidate(member, now) for member in targets.values()
        ]
        budget = decisions.get_budget(self._get_configuration())
        planned = decisions.plan_probes(
            candidates,
            self._window,
            decisions.get_sender_limits(budget),
            self._size,
            now,
            credit=self._credit,
        )
        self._window = planned.window
        self._credit = planned.credit
        for name in planned.names:
            self._start(targets[name], now)

    def _drop_old_probe_times(self, now: float) -> None:
        for key, probed_at in tuple(self._probed_at.items()):
            if now - probed_at > _ACTIVE_S:
                del self._probed_at[key]

    def _make_candidate(
        self, member: membership.Member, now: float
    ) -> decisions.ProbeCandidate:
        view = self._tracker.evaluate(member)
        probed_at = self._probed_at.get(
            instance_group.make_key(member), now - _ACTIVE_S
        )
        report_age_s = view.report_age_s if view.report else _ACTIVE_S
        is_suspect = self._tracker.is_unresponsive(view)
        probe_age_s = now - probed_at
        return decisions.ProbeCandidate(
            name=member.daemon,
            is_suspect=is_suspect,
            age_s=probe_age_s
            if is_suspect
            else min(report_age_s, probe_age_s),
        )

    def _start(self, member: membership.Member, now: float) -> None:
        self._probed_at[instance_group.make_key(member)] = now
        self.sent += 1
        self.bytes += self._size
        task = asyncio.create_task(self.probe(member))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def probe(self, member: membership.Member) -> None:
        """Ask the owner of one instance for its load and record the result.

        A failed probe counts as a fault of the instance, a refused one
        does not.
        """
        started = self._tracker.clock()
        try:
            async with self._session.get(
                f"http://{member.peer}{PATH}",
                headers={headers.PEER_TOKEN: self._token},
                skip_auto_headers=_SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=decisions.PROBE_TIMEOUT_S),
            ) as response:
                if response.status == _REFUSED:
                    # The budget of the upstream is used up. A time in the
                    # future delays the next probe by so much.
                    self._probed_at[instance_group.make_key(member)] = (
                        started + _ACTIVE_S
                    )
                    return
                response.raise_for_status()
                raw = await response.content.read(RESPONSE_BYTES)
            report = codec.decode(raw, messages.ProbeResponse)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ) as error:
            event_log.debug(
                "probe_failed", peer=member.peer, error=repr(error)
            )
            self._tracker.record_failure(
                instance_group.make_key(member), member.service
            )
            return
        elapsed_s = self._tracker.clock() - started
        self._tracker.record_round_trip(member, elapsed_s)
        self._tracker.record_report(
            member.daemon, report.incarnation, report.load
        )
