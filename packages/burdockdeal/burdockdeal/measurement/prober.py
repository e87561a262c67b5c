"""The prober: asks owners for their load, within the budget."""

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
from burdockdeal.routing import board
from burdockdeal.routing import group
from burdockdeal.settings import model

PATH = "/v1/peer/load"

#: Bytes of an answer with its headers, and of the packets' own headers.
ANSWER_BYTES = 512
FRAMING_BYTES = 160

#: Bytes of a request's line and headers, the token left out.
REQUEST_BYTES = 192

_REFUSED = 429
_ACTIVE_S = 1.0
_PERIOD_S = 0.05
_IDLE_PERIOD_S = 0.25
_UNWANTED_DEFAULTS = ("Accept", "Accept-Encoding", "User-Agent")


def compute_probe_bytes(peer_token: str) -> int:
    """Tell the bytes that one probe costs at most."""
    return REQUEST_BYTES + len(peer_token) + ANSWER_BYTES + FRAMING_BYTES


class Prober(mode.Service):
    """Keeps reports fresh of instances that this entry calls.

    :param get_configuration: returns the configuration in force here.
    """

    def __init__(
        self,
        settings: model.Settings,
        tallies: board.Board,
        session: aiohttp.ClientSession,
        chance: random.Random,
        get_configuration: abc.Callable[[], configuration.Configuration],
    ) -> None:
        super().__init__()
        self._own = settings.daemon
        self._token = settings.peer_token
        self._size = compute_probe_bytes(settings.peer_token)
        self._board = tallies
        self._session = session
        self._chance = chance
        self._get_configuration = get_configuration
        self._ledger = state.Ledger()
        self._credit = 0.0
        self._answers = 0
        self._asked: dict[group.Key, float] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.bytes = 0

    @mode.Service.task
    async def _probe_forever(self) -> None:
        while not self.should_stop:
            active = self._find_active()
            if active:
                self._probe_some(active)
            await self.sleep(_PERIOD_S if active else _IDLE_PERIOD_S)

    async def on_stop(self) -> None:
        """Give up the probes in flight."""
        for task in tuple(self._probes):
            task.cancel()

    def _find_active(self) -> list[group.Group]:
        now = self._board.clock()
        return [
            known
            for known in self._board.groups.values()
            if now - known.asked_at < _ACTIVE_S
        ]

    def _probe_some(self, active: list[group.Group]) -> None:
        now = self._board.clock()
        answers = self._board.answers
        self._credit = decisions.add_credit(
            self._credit, answers - self._answers
        )
        self._answers = answers
        targets = {
            member.daemon: member
            for known in active
            for member in known.sample(frozenset({self._own}), self._chance)
        }
        self._forget_old(now)
        wanted = [self._want(member, now) for member in targets.values()]
        budget = decisions.read_budget(self._get_configuration())
        planned = decisions.plan(
            wanted,
            self._ledger,
            decisions.terms_of_sender(budget),
            self._size,
            now,
            credit=self._credit,
        )
        self._ledger = planned.ledger
        self._credit = planned.credit
        for name in planned.names:
            self._start(targets[name], now)

    def _forget_old(self, now: float) -> None:
        for key, asked_at in tuple(self._asked.items()):
            if now - asked_at > _ACTIVE_S:
                del self._asked[key]

    def _want(self, member: membership.Member, now: float) -> decisions.Want:
        shown = self._board.judge(member)
        asked_at = self._asked.get(group.key_of(member), now - _ACTIVE_S)
        report_age_s = shown.report_age_s if shown.report else _ACTIVE_S
        suspect = self._board.is_suspect(shown)
        asked_age_s = now - asked_at
        return decisions.Want(
            name=member.daemon,
            suspect=suspect,
            age_s=asked_age_s if suspect else min(report_age_s, asked_age_s),
        )

    def _start(self, member: membership.Member, now: float) -> None:
        self._asked[group.key_of(member)] = now
        self.sent += 1
        self.bytes += self._size
        task = asyncio.create_task(self.ask(member))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def ask(self, member: membership.Member) -> None:
        """Ask one instance for its load."""
        started = self._board.clock()
        try:
            async with self._session.get(
                f"http://{member.peer}{PATH}",
                headers={headers.PEER_TOKEN: self._token},
                skip_auto_headers=_UNWANTED_DEFAULTS,
                timeout=aiohttp.ClientTimeout(total=decisions.PROBE_TIMEOUT_S),
            ) as response:
                if response.status == _REFUSED:
                    # Asked again only when this has been forgotten.
                    self._asked[group.key_of(member)] = started + _ACTIVE_S
                    return
                response.raise_for_status()
                raw = await response.content.read(ANSWER_BYTES)
            answer = codec.decode(raw, messages.Answer)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            codec.MalformedError,
            OSError,
        ) as error:
            event_log.debug(
                "probe_failed", peer=member.peer, error=repr(error)
            )
            self._board.note_fault(group.key_of(member), member.service)
            return
        elapsed_s = self._board.clock() - started
        self._board.note_round_trip(member, elapsed_s)
        self._board.note_report(member.daemon, answer.incarnation, answer.load)
