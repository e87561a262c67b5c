"""Relays that run, and how they are told what to do."""

from collections import abc
import dataclasses

import aiohttp

from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_standins import ports
from burdockdeal_standins import relay


@dataclasses.dataclass(frozen=True, slots=True)
class RelayClient:
    """A relay that runs.

    :param near: how the addresses begin that pass clear.
    :param addresses: where each daemon is reached through the relay.
    """

    session: aiohttp.ClientSession
    port: int
    admin_port: int
    host: str = ports.HOST
    near: str = ""
    addresses: abc.Mapping[str, model.Address] = dataclasses.field(
        default_factory=dict
    )

    async def set_behaviour(self, behaviour: relay.Behaviour) -> None:
        """Set how the link behaves."""
        url = f"http://{self.host}:{self.admin_port}/admin/behaviour"
        async with self.session.put(
            url, data=codec.encode(behaviour)
        ) as response:
            assert response.status == 200
