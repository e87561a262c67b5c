"""Relays between the daemons of a fleet, whose links a test can disturb."""

import asyncio
from collections import abc

from burdockdeal.settings import model
from burdockdeal_standins import fleet as fleets
from burdockdeal_standins import ports
from burdockdeal_standins import relay_client


async def add_relay(
    fleet: fleets.Fleet, target: str, **options: object
) -> relay_client.RelayClient:
    """Start a relay.

    :param target: host:port that it forwards to.
    :param options: further flags of the relay.
    """
    port, admin_port = ports.free_port(), ports.free_port()
    process = await fleet.start(
        "burdockdeal_standins.relay",
        f"relay-{port}",
        port=port,
        target=target,
        admin_port=admin_port,
        **options,
    )
    await fleet.wait_for_port(admin_port, process)
    return relay_client.RelayClient(fleet.session, port, admin_port)


async def add_domain_relay(
    fleet: fleets.Fleet,
    host: str,
    targets: abc.Mapping[str, model.Address],
    *,
    delay_ms: float = 0.0,
) -> relay_client.RelayClient:
    """Start the relay of a failure domain, one port for each daemon.

    :param host: address of the domain; connections from addresses that
        differ only in the last octet bypass the faults.
    :param targets: peer address of each daemon, by name.
    :param delay_ms: added one-way delay in milliseconds.
    """
    near = host.rsplit(".", 1)[0] + "."
    relay_ports = [ports.free_port(host) for _ in targets]
    admin_port = ports.free_port()
    process = await fleet.start(
        "burdockdeal_standins.relay",
        f"relay-{admin_port}",
        host=host,
        port=",".join(map(str, relay_ports)),
        target=",".join(map(str, targets.values())),
        admin_port=admin_port,
        delay_ms=delay_ms,
        near=near,
    )
    await fleet.wait_for_port(admin_port, process, host)
    addresses = {
        name: model.Address(host, port)
        for name, port in zip(targets, relay_ports, strict=True)
    }
    return relay_client.RelayClient(
        fleet.session, relay_ports[0], admin_port, host, near, addresses
    )


async def add_domain(
    fleet: fleets.Fleet,
    number: int,
    specs: abc.Sequence[fleets.NodeSpec],
    **changes: object,
) -> relay_client.RelayClient:
    """Start a failure domain whose daemons are reached through a relay.

    :param number: of the domain; the third octet of its addresses.
    """
    host = f"127.0.{number}.1"
    listen_settings = {
        spec.name: model.Listen(
            *(model.Address(host, ports.free_port(host)) for _ in range(4))
        )
        for spec in specs
    }
    relay = await add_domain_relay(
        fleet,
        host,
        {name: listen.peer for name, listen in listen_settings.items()},
    )
    await asyncio.gather(
        *(
            fleet.add_node(
                spec,
                listen=listen_settings[spec.name],
                advertise=relay.addresses[spec.name],
                **changes,
            )
            for spec in specs
        )
    )
    return relay
