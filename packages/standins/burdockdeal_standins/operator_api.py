"""A client of the daemons' operator interface, for tests."""

import dataclasses

from burdockdeal.audit import messages as audit
from burdockdeal.configuration import messages
from burdockdeal.configuration import resources
from burdockdeal.core import codec
from burdockdeal.daemon import messages as daemon
from burdockdeal.platform import messages as platform
from burdockdeal.platform import wire
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response of the operator interface."""

    status: int
    raw: bytes
    etag: str

    def decode(self, kind: type[codec.T]) -> codec.T:
        """Decode the body as a message of a kind."""
        return codec.decode(self.raw, kind)


async def request(
    fleet: standins.Fleet,
    name: str,
    method: str,
    path: str,
    body: object = None,
    **extra_headers: str,
) -> Response:
    """Send a request to the operator interface of a daemon.

    :param name: of the daemon.
    :param extra_headers: further headers, with underscores for hyphens.
    """
    headers = fleet.operator_headers | {
        key.replace("_", "-"): value for key, value in extra_headers.items()
    }
    async with fleet.session.request(
        method,
        fleet.nodes[name].operator_url + path,
        data=body if isinstance(body, bytes) else codec.encode(body),
        headers=headers,
    ) as response:
        raw = await response.read()
        return Response(response.status, raw, response.headers.get("ETag", ""))


async def put_service(
    fleet: standins.Fleet,
    name: str,
    service: str,
    queue_limit: int = 1,
    **extra_headers: str,
) -> Response:
    """Declare a service with a queue limit."""
    return await request(
        fleet,
        name,
        "PUT",
        f"/v1/resources/Service/{service}",
        resources.Service(queue_limit=queue_limit),
        **extra_headers,
    )


async def get_service(
    fleet: standins.Fleet, name: str, service: str
) -> Response:
    """Read a service resource."""
    return await request(
        fleet, name, "GET", f"/v1/resources/Service/{service}"
    )


async def read_status(fleet: standins.Fleet, name: str) -> daemon.Fleet:
    """Read a daemon's view of the fleet from its status."""
    response = await request(fleet, name, "GET", "/v1/status")
    return response.decode(daemon.Fleet)


async def is_in_force(fleet: standins.Fleet, name: str, service: str) -> bool:
    """Return whether a daemon reports a service in force everywhere."""
    response = await get_service(fleet, name, service)
    return response.status == 200 and all(
        condition.status
        for condition in response.decode(messages.Document).status.conditions
    )


async def wait_in_force(
    fleet: standins.Fleet, name: str, service: str, within_s: float = 20.0
) -> None:
    """Wait until a daemon reports a service in force everywhere."""
    await fleet.wait_until(
        lambda: is_in_force(fleet, name, service),
        f"{service} in force everywhere according to {name}",
        within_s=within_s,
    )


async def read_store_entries(
    fleet: standins.Fleet, prefix: str
) -> tuple[platform.Entry, ...]:
    """Read the store's entries whose keys start with a prefix."""
    url = f"http://{ports.HOST}:{fleet.store_port}/api/kv-range"
    async with fleet.session.get(f"{url}?pathPrefix={prefix}") as response:
        response.raise_for_status()
        era = wire.parse_era(response.headers.get(wire.ERA_HEADER))
        page = codec.decode(await response.read(), wire.Page)
        return page.decode_items(era)


async def read_changes(fleet: standins.Fleet) -> list[messages.Change]:
    """Read the change log from the store, ordered by revision."""
    entries = await read_store_entries(fleet, messages.LOG_PREFIX)
    return sorted(
        (codec.decode(e.value, messages.Change) for e in entries),
        key=lambda change: change.revision,
    )


async def read_audit_trail(
    fleet: standins.Fleet, name: str, query: str = ""
) -> audit.Trail:
    """Read a page of the audit trail from a daemon."""
    response = await request(fleet, name, "GET", f"/v1/audit{query}")
    assert response.status == 200, response.raw
    return response.decode(audit.Trail)


async def is_audited(
    fleet: standins.Fleet, name: str, resource: str, outcome: str
) -> bool:
    """Return whether the audit trail is complete and has an outcome."""
    query = f"?resource={resource}&outcome={outcome}"
    trail = await read_audit_trail(fleet, name, query)
    return trail.complete and bool(trail.records)


async def has_revision(
    fleet: standins.Fleet, name: str, revision: int
) -> bool:
    """Return whether a daemon holds a revision or a newer one."""
    return (await read_status(fleet, name)).revision >= revision


async def count_store_calls(fleet: standins.Fleet, name: str) -> int:
    """Read a daemon's count of calls to the store."""
    return (await read_status(fleet, name)).store_calls


async def has_snapshot(fleet: standins.Fleet) -> bool:
    """Return whether the store holds a configuration snapshot."""
    entries = await read_store_entries(fleet, messages.MANIFEST_KEY)
    return bool(entries)
