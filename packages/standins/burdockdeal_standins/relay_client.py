"""A client that controls a running relay."""

from collections import abc
import dataclasses

import aiohttp

from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_standins import ports
from burdockdeal_standins import relay


@dataclasses.dataclass(frozen=True, slots=True)
class RelayClient:
    """Controls one running relay.

    :param near: prefix of the source addresses that bypass the faults.
    :param addresses: relay address of each daemon, by daemon name.
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
        """Replace the faults that the relay injects."""
        url = f"http://{self.host}:{self.admin_port}/admin/behaviour"
        async with self.session.put(
            url, data=codec.encode(behaviour)
        ) as response:
            assert response.status == 200
