"""The stage: a deployment's processes, and what events do to them."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import signal

from burdockdeal.configuration import resources
from burdockdeal.settings import model
from burdockdeal_bench import deployment as deployments
from burdockdeal_bench import scenario as scenarios
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports
from burdockdeal_standins import relay
from burdockdeal_standins import relay_client
from burdockdeal_standins import store
from burdockdeal_standins import upstream

Action = scenarios.Action


class Stage:
    """Holds the processes of a deployment and how they behave.

    :param fleet: starts the processes.
    :param seed: of the daemons' own choices.
    """

    def __init__(
        self,
        fleet: standins.Fleet,
        deployment: deployments.Deployment,
        policy: str,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.deployment = deployment
        self.policy = policy
        self.seed = seed
        self.links: dict[str, relay_client.RelayClient] = {}
        self.behaviours = {
            place.name: upstream.Behaviour(service_ms=place.service_ms)
            for place in deployment.places
        }
        self.faults = store.Faults()

    @property
    def operator_urls(self) -> dict[str, str]:
        """The operator interface of each daemon."""
        return {
            name: node.operator_url for name, node in self.fleet.nodes.items()
        }

    @property
    def entries(self) -> tuple[str, ...]:
        """The caller interface of each daemon."""
        return tuple(node.caller_url for node in self.fleet.nodes.values())

    def link(self, place: str) -> relay_client.RelayClient:
        """Return the link of a place's failure domain."""
        return self.links[self.deployment.find_place(place).failure_domain]

    async def start(self) -> None:
        """Start all processes and put the configuration in force."""
        listens = self._lay_out()
        for number, domain in enumerate(self.deployment.failure_domains, 1):
            await self._start_link(number, domain, listens)
        await asyncio.gather(
            *(
                self._start_place(index, place, listens[place.name])
                for index, place in enumerate(self.deployment.places)
            )
        )
        first = next(iter(self.fleet.nodes.values()))
        await self.fleet.wait_until(
            lambda: self._is_open(first), "the first daemon takes changes"
        )
        revision = await self._declare(first)
        await self.fleet.wait_until_ready(revision)

    def _host(self, place: deployments.Place) -> str:
        domains = self.deployment.failure_domains
        return f"127.0.{domains.index(place.failure_domain) + 1}.1"

    def _lay_out(self) -> dict[str, model.Listen]:
        return {
            place.name: model.Listen(
                *(
                    model.Address(
                        self._host(place),
                        ports.free_port(self._host(place)),
                    )
                    for _ in range(4)
                )
            )
            for place in self.deployment.places
        }

    async def _start_link(
        self, number: int, domain: str, listens: dict[str, model.Listen]
    ) -> None:
        host = f"127.0.{number}.1"
        self.links[domain] = await self.fleet.add_domain_relay(
            host,
            {
                place.name: listens[place.name].peer
                for place in self.deployment.places
                if place.failure_domain == domain
            },
            delay_ms=self.deployment.link_ms,
        )

    async def _start_place(
        self, index: int, place: deployments.Place, listen: model.Listen
    ) -> None:
        await self.fleet.add_node(
            standins.NodeSpec(
                name=place.name,
                failure_domain=place.failure_domain,
                service="" if place.cold else place.service,
                slots=place.slots,
                connections=place.connections,
                service_ms=place.service_ms,
                warm_up_s=place.warm_up_s,
            ),
            listen=listen,
            advertise=self.links[place.failure_domain].addresses[place.name],
            policy=self.policy,
            seed=self.seed + index,
        )

    async def _is_open(self, node: standins.Node) -> bool:
        async with self.fleet.session.get(
            f"{node.operator_url}/healthz"
        ) as answer:
            return answer.status == 200

    async def _declare(self, node: standins.Node) -> int:
        wanted: list[tuple[str, str, resources.Spec]] = [
            ("Budget", resources.BUDGET_NAME, self.deployment.budget)
        ]
        wanted += [
            ("Service", service.name, service.spec)
            for service in self.deployment.services
        ]
        wanted += [
            ("Rank", rank.name, rank.spec) for rank in self.deployment.ranks
        ]
        wanted += [
            ("Rule", work.name, _rule_of(work))
            for work in self.deployment.works
        ]
        revision = 0
        for kind, name, spec in wanted:
            revision = await self.fleet.declare(node, kind, name, spec)
        return revision

    async def change_upstream(self, place: str, **fields: object) -> None:
        """Change how the upstream of a place behaves."""
        changed = dataclasses.replace(self.behaviours[place], **fields)
        self.behaviours[place] = changed
        await self.fleet.set_upstream_behaviour(
            self.fleet.nodes[place], changed
        )

    async def change_store(self, **fields: object) -> None:
        """Change what goes wrong at the store."""
        self.faults = dataclasses.replace(self.faults, **fields)
        await self.fleet.set_store_faults(self.faults)


def _rule_of(work: deployments.Work) -> resources.Rule:
    return resources.Rule(
        service=work.service,
        rank=work.rank,
        match=resources.Match(path_prefix=f"/{work.name}/"),
        idempotent=work.idempotent,
        deadline_ms=work.deadline_ms,
    )


@contextlib.asynccontextmanager
async def run_stage(
    deployment: deployments.Deployment, policy: str, seed: int
) -> abc.AsyncIterator[Stage]:
    """Run a deployment's processes while the block runs."""
    async with standins.run_fleet() as fleet:
        stage = Stage(fleet, deployment, policy, seed)
        await stage.start()
        yield stage


Happen = abc.Callable[[Stage, scenarios.Event], abc.Awaitable[None]]


def _make_behave(**fields: object) -> Happen:
    async def happen(stage: Stage, event: scenarios.Event) -> None:
        await stage.change_upstream(event.place, **fields)

    return happen


async def _slow(stage: Stage, event: scenarios.Event) -> None:
    usual = stage.deployment.find_place(event.place).service_ms
    await stage.change_upstream(event.place, service_ms=usual * event.value)


async def _recover(stage: Stage, event: scenarios.Event) -> None:
    place = stage.deployment.find_place(event.place)
    usual = upstream.Behaviour(service_ms=place.service_ms)
    await stage.change_upstream(event.place, **dataclasses.asdict(usual))


async def _start_upstream(stage: Stage, event: scenarios.Event) -> None:
    node = stage.fleet.nodes[event.place]
    place = dataclasses.replace(
        node.spec, service=stage.deployment.find_place(event.place).service
    )
    started = await stage.fleet.start_upstream(
        place, node.settings, node.upstream_port
    )
    stage.fleet.nodes[event.place] = dataclasses.replace(
        node, place=place, upstream=started
    )


async def _start_daemon(stage: Stage, event: scenarios.Event) -> None:
    node = stage.fleet.nodes[event.place]
    started = await stage.fleet.start_daemon(node.settings)
    stage.fleet.nodes[event.place] = dataclasses.replace(node, daemon=started)


def _make_signal(process: str, number: signal.Signals) -> Happen:
    async def happen(stage: Stage, event: scenarios.Event) -> None:
        running: asyncio.subprocess.Process | None = getattr(
            stage.fleet.nodes[event.place], process
        )
        if running is not None and running.returncode is None:
            running.send_signal(number)

    return happen


def _make_link(**fields: object) -> Happen:
    async def happen(stage: Stage, event: scenarios.Event) -> None:
        link = stage.link(event.place)
        usual = relay.Behaviour(
            delay_ms=stage.deployment.link_ms, near=link.near
        )
        await link.set_behaviour(dataclasses.replace(usual, **fields))

    return happen


async def _delay_domain(stage: Stage, event: scenarios.Event) -> None:
    await _make_link(delay_ms=event.value)(stage, event)


def _make_store(**fields: object) -> Happen:
    async def happen(stage: Stage, event: scenarios.Event) -> None:
        await stage.change_store(**fields)

    return happen


async def _delay_store(stage: Stage, event: scenarios.Event) -> None:
    await stage.change_store(delay_ms=event.value)


async def _lose_answers(stage: Stage, event: scenarios.Event) -> None:
    await stage.change_store(lose_answers=int(event.value))


#: What each action does.
HAPPENINGS: dict[Action, Happen] = {
    Action.SLOW: _slow,
    Action.FAIL_FAST: _make_behave(fail_fast=True),
    Action.LIE: _make_behave(lie=True),
    Action.HANG: _make_behave(hang=True),
    Action.TRUNCATE: _make_behave(truncate=True),
    Action.SILENCE: _make_behave(beating=False),
    Action.DRAIN: _make_behave(draining=True),
    Action.RECOVER: _recover,
    Action.START_UPSTREAM: _start_upstream,
    Action.KILL_UPSTREAM: _make_signal("upstream", signal.SIGKILL),
    Action.KILL_DAEMON: _make_signal("daemon", signal.SIGKILL),
    Action.TERMINATE_DAEMON: _make_signal("daemon", signal.SIGTERM),
    Action.START_DAEMON: _start_daemon,
    Action.STOP_DAEMON: _make_signal("daemon", signal.SIGSTOP),
    Action.CONTINUE_DAEMON: _make_signal("daemon", signal.SIGCONT),
    Action.STOP_UPSTREAM: _make_signal("upstream", signal.SIGSTOP),
    Action.CONTINUE_UPSTREAM: _make_signal("upstream", signal.SIGCONT),
    Action.CUT_DOMAIN: _make_link(cut=True),
    Action.SWALLOW_DOMAIN: _make_link(swallow=True),
    Action.DELAY_DOMAIN: _delay_domain,
    Action.HEAL_DOMAIN: _make_link(),
    Action.STORE_OUTAGE: _make_store(outage=True),
    Action.STORE_DELAY: _delay_store,
    Action.STORE_LOSE_ANSWERS: _lose_answers,
    Action.STORE_RECOVER: _make_store(outage=False, delay_ms=0.0),
}
