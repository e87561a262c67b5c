"""The testbed: a deployment's processes, and how events change them."""

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
from burdockdeal_standins import fleet_relays
from burdockdeal_standins import ports
from burdockdeal_standins import relay
from burdockdeal_standins import relay_client
from burdockdeal_standins import store
from burdockdeal_standins import upstream

Action = scenarios.Action

#: Seconds without a write to the store after which a start is complete.
_QUIET_S = 1.5


class Testbed:
    """The running processes of a deployment and their injected faults.

    :param fleet: starts and stops the processes.
    :param policy: the routing policy of every daemon.
    :param seed: seeds the daemons' random choices.
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
        """URL of the operator interface by daemon name."""
        return {
            name: node.operator_url for name, node in self.fleet.nodes.items()
        }

    @property
    def entries(self) -> tuple[str, ...]:
        """URL of each daemon's caller interface."""
        return tuple(node.caller_url for node in self.fleet.nodes.values())

    def link(self, place: str) -> relay_client.RelayClient:
        """Return the relay of a place's failure domain to the others."""
        return self.links[self.deployment.find_place(place).failure_domain]

    async def start(self) -> None:
        """Start all processes and wait until the configuration is applied."""
        listen_addresses = self._allocate_addresses()
        for domain_number, domain in enumerate(
            self.deployment.failure_domains, 1
        ):
            await self._start_link(domain_number, domain, listen_addresses)
        await asyncio.gather(
            *(
                self._start_place(index, place, listen_addresses[place.name])
                for index, place in enumerate(self.deployment.places)
            )
        )
        first = next(iter(self.fleet.nodes.values()))
        await self.fleet.wait_until(
            lambda: self._is_healthy(first), "the first daemon is healthy"
        )
        revision = await self._declare(first)
        await self.fleet.wait_until_ready(revision)
        await self._wait_until_writes_cease()

    async def _wait_until_writes_cease(self) -> None:
        """Wait until the contacts of the new fleet are listed."""
        before = -1
        counts = await self.fleet.read_store_counts()
        while counts.writes != before:
            before = counts.writes
            await asyncio.sleep(_QUIET_S)
            counts = await self.fleet.read_store_counts()

    def _host_of(self, place: deployments.Place) -> str:
        domains = self.deployment.failure_domains
        return f"127.0.{domains.index(place.failure_domain) + 1}.1"

    def _allocate_addresses(self) -> dict[str, model.Listen]:
        return {
            place.name: model.Listen(
                *(
                    model.Address(
                        self._host_of(place),
                        ports.free_port(self._host_of(place)),
                    )
                    for _ in range(4)
                )
            )
            for place in self.deployment.places
        }

    async def _start_link(
        self,
        domain_number: int,
        domain: str,
        listen_addresses: dict[str, model.Listen],
    ) -> None:
        host = f"127.0.{domain_number}.1"
        self.links[domain] = await fleet_relays.add_domain_relay(
            self.fleet,
            host,
            {
                place.name: listen_addresses[place.name].peer
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

    async def _is_healthy(self, node: standins.Node) -> bool:
        async with self.fleet.session.get(
            f"{node.operator_url}/healthz"
        ) as response:
            return response.status == 200

    async def _declare(self, node: standins.Node) -> int:
        declarations: list[tuple[str, str, resources.Spec]] = [
            ("Budget", resources.BUDGET_NAME, self.deployment.budget)
        ]
        declarations += [
            ("Service", service.name, service.spec)
            for service in self.deployment.services
        ]
        declarations += [
            ("Rank", rank.name, rank.spec) for rank in self.deployment.ranks
        ]
        declarations += [
            ("Rule", work.name, _make_rule(work))
            for work in self.deployment.works
        ]
        revision = 0
        for kind, name, spec in declarations:
            revision = await self.fleet.declare(node, kind, name, spec)
        return revision

    async def change_upstream(self, place: str, **fields: object) -> None:
        """Change the behaviour of a place's upstream.

        :param fields: new values of upstream.Behaviour; others stay.
        """
        behaviour = dataclasses.replace(self.behaviours[place], **fields)
        self.behaviours[place] = behaviour
        await self.fleet.set_upstream_behaviour(
            self.fleet.nodes[place], behaviour
        )

    async def change_store(self, **fields: object) -> None:
        """Change the faults that the store injects.

        :param fields: new values of store.Faults; others stay.
        """
        self.faults = dataclasses.replace(self.faults, **fields)
        await self.fleet.set_store_faults(self.faults)


def _make_rule(work: deployments.Work) -> resources.Rule:
    return resources.Rule(
        service=work.service,
        rank=work.rank,
        match=resources.Match(path_prefix=f"/{work.name}/"),
        idempotent=work.idempotent,
        deadline_ms=work.deadline_ms,
    )


@contextlib.asynccontextmanager
async def run_testbed(
    deployment: deployments.Deployment, policy: str, seed: int
) -> abc.AsyncIterator[Testbed]:
    """Start a deployment's processes, and stop them when the block ends."""
    async with standins.run_fleet() as fleet:
        testbed = Testbed(fleet, deployment, policy, seed)
        await testbed.start()
        yield testbed


Handler = abc.Callable[[Testbed, scenarios.Event], abc.Awaitable[None]]


def _make_behaviour_handler(**fields: object) -> Handler:
    async def handle(testbed: Testbed, event: scenarios.Event) -> None:
        await testbed.change_upstream(event.place, **fields)

    return handle


async def _slow_upstream(testbed: Testbed, event: scenarios.Event) -> None:
    default = testbed.deployment.find_place(event.place).service_ms
    await testbed.change_upstream(
        event.place, service_ms=default * event.value
    )


async def _recover_upstream(testbed: Testbed, event: scenarios.Event) -> None:
    place = testbed.deployment.find_place(event.place)
    default = upstream.Behaviour(service_ms=place.service_ms)
    await testbed.change_upstream(event.place, **dataclasses.asdict(default))


async def _start_upstream(testbed: Testbed, event: scenarios.Event) -> None:
    node = testbed.fleet.nodes[event.place]
    place = dataclasses.replace(
        node.spec, service=testbed.deployment.find_place(event.place).service
    )
    process = await testbed.fleet.start_upstream(
        place, node.settings, node.upstream_port
    )
    testbed.fleet.nodes[event.place] = dataclasses.replace(
        node, spec=place, upstream=process
    )


async def _start_daemon(testbed: Testbed, event: scenarios.Event) -> None:
    node = testbed.fleet.nodes[event.place]
    process = await testbed.fleet.start_daemon(node.settings)
    testbed.fleet.nodes[event.place] = dataclasses.replace(
        node, daemon=process
    )


def _make_signal_handler(
    process_name: str, signal_number: signal.Signals
) -> Handler:
    async def handle(testbed: Testbed, event: scenarios.Event) -> None:
        running: asyncio.subprocess.Process | None = getattr(
            testbed.fleet.nodes[event.place], process_name
        )
        if running is not None and running.returncode is None:
            running.send_signal(signal_number)

    return handle


def _make_link_handler(**fields: object) -> Handler:
    async def handle(testbed: Testbed, event: scenarios.Event) -> None:
        link = testbed.link(event.place)
        default = relay.Behaviour(
            delay_ms=testbed.deployment.link_ms, near=link.near
        )
        await link.set_behaviour(dataclasses.replace(default, **fields))

    return handle


async def _delay_domain(testbed: Testbed, event: scenarios.Event) -> None:
    await _make_link_handler(delay_ms=event.value)(testbed, event)


def _make_store_handler(**fields: object) -> Handler:
    async def handle(testbed: Testbed, event: scenarios.Event) -> None:
        await testbed.change_store(**fields)

    return handle


async def _delay_store(testbed: Testbed, event: scenarios.Event) -> None:
    await testbed.change_store(delay_ms=event.value)


async def _lose_store_answers(
    testbed: Testbed, event: scenarios.Event
) -> None:
    await testbed.change_store(lose_answers=int(event.value))


#: The handler of each action of an event.
ACTION_HANDLERS: dict[Action, Handler] = {
    Action.SLOW: _slow_upstream,
    Action.FAIL_FAST: _make_behaviour_handler(fail_fast=True),
    Action.LIE: _make_behaviour_handler(lie=True),
    Action.HANG: _make_behaviour_handler(hang=True),
    Action.TRUNCATE: _make_behaviour_handler(truncate=True),
    Action.SILENCE: _make_behaviour_handler(beating=False),
    Action.DRAIN: _make_behaviour_handler(draining=True),
    Action.RECOVER: _recover_upstream,
    Action.START_UPSTREAM: _start_upstream,
    Action.KILL_UPSTREAM: _make_signal_handler("upstream", signal.SIGKILL),
    Action.KILL_DAEMON: _make_signal_handler("daemon", signal.SIGKILL),
    Action.TERMINATE_DAEMON: _make_signal_handler("daemon", signal.SIGTERM),
    Action.START_DAEMON: _start_daemon,
    Action.STOP_DAEMON: _make_signal_handler("daemon", signal.SIGSTOP),
    Action.CONTINUE_DAEMON: _make_signal_handler("daemon", signal.SIGCONT),
    Action.STOP_UPSTREAM: _make_signal_handler("upstream", signal.SIGSTOP),
    Action.CONTINUE_UPSTREAM: _make_signal_handler("upstream", signal.SIGCONT),
    Action.CUT_DOMAIN: _make_link_handler(cut=True),
    Action.SWALLOW_DOMAIN: _make_link_handler(swallow=True),
    Action.DELAY_DOMAIN: _delay_domain,
    Action.HEAL_DOMAIN: _make_link_handler(),
    Action.STORE_OUTAGE: _make_store_handler(outage=True),
    Action.STORE_DELAY: _delay_store,
    Action.STORE_LOSE_ANSWERS: _lose_store_answers,
    Action.STORE_RECOVER: _make_store_handler(outage=False, delay_ms=0.0),
}
