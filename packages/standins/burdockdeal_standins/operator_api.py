"""What an operator does with a fleet, for tests."""

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
    """What the operator interface answered."""

    status: int
    raw: bytes
    etag: str

    def decode(self, kind: type[codec.T]) -> codec.T:
        """Decode the message."""
        return codec.decode(self.raw, kind)


async def request(
    fleet: standins.Fleet,
    name: str,
    method: str,
    path: str,
    body: object = None,
    **given: str,
) -> Response:
    """Call the operator interface of a daemon."""
    headers = fleet.operator_headers | {
        key.replace("_", "-"): value for key, value in given.items()
    }
    async with fleet.session.request(
        method,
        fleet.nodes[name].operator_url + path,
        data=body if isinstance(body, bytes) else codec.encode(body),
        headers=headers,
    ) as answer:
        raw = await answer.read()
        return Response(answer.status, raw, answer.headers.get("ETag", ""))


async def put_service(
    fleet: standins.Fleet,
    name: str,
    service: str,
    queue_limit: int = 1,
    **given: str,
) -> Response:
    """Put a service."""
    return await request(
        fleet,
        name,
        "PUT",
        f"/v1/resources/Service/{service}",
        resources.Service(queue_limit=queue_limit),
        **given,
    )


async def get_service(
    fleet: standins.Fleet, name: str, service: str
) -> Response:
    """Get a service."""
    return await request(
        fleet, name, "GET", f"/v1/resources/Service/{service}"
    )


async def read_status(fleet: standins.Fleet, name: str) -> daemon.Fleet:
    """Read a daemon's view of the fleet."""
    answer = await request(fleet, name, "GET", "/v1/status")
    return answer.decode(daemon.Fleet)


async def is_in_force(fleet: standins.Fleet, name: str, service: str) -> bool:
    """Tell whether a service is in force everywhere."""
    answer = await get_service(fleet, name, service)
    return answer.status == 200 and all(
        condition.status
        for condition in answer.decode(messages.Document).status.conditions
    )


async def wait_in_force(
    fleet: standins.Fleet, name: str, service: str, within_s: float = 20.0
) -> None:
    """Wait until a service is in force everywhere."""
    await fleet.wait_until(
        lambda: is_in_force(fleet, name, service),
        f"{service} in force everywhere, says {name}",
        within_s=within_s,
    )


async def read_store_entries(
    fleet: standins.Fleet, prefix: str
) -> tuple[platform.Entry, ...]:
    """Read the store's entries below a prefix."""
    url = f"http://{ports.HOST}:{fleet.store_port}/api/kv-range"
    async with fleet.session.get(f"{url}?pathPrefix={prefix}") as answer:
        answer.raise_for_status()
        return codec.decode(await answer.read(), wire.Page).decode_items()


async def read_changes(fleet: standins.Fleet) -> list[messages.Change]:
    """Read the change log from the store."""
    entries = await read_store_entries(fleet, messages.LOG_PREFIX)
    return sorted(
        (codec.decode(e.value, messages.Change) for e in entries),
        key=lambda change: change.revision,
    )


async def read_audit_trail(
    fleet: standins.Fleet, name: str, query: str = ""
) -> audit.Trail:
    """Read a page of the audit trail."""
    answer = await request(fleet, name, "GET", f"/v1/audit{query}")
    assert answer.status == 200, answer.raw
    return answer.decode(audit.Trail)


async def is_audited(
    fleet: standins.Fleet, name: str, resource: str, outcome: str
) -> bool:
    """Tell whether the trail shows an outcome."""
    query = f"?resource={resource}&outcome={outcome}"
    trail = await read_audit_trail(fleet, name, query)
    return trail.complete and bool(trail.records)


async def has_revision(
    fleet: standins.Fleet, name: str, revision: int
) -> bool:
    """Tell whether a daemon has_revision a revision."""
    return (await read_status(fleet, name)).revision >= revision


async def count_store_calls(fleet: standins.Fleet, name: str) -> int:
    """Count a daemon's calls to the store."""
    return (await read_status(fleet, name)).store_calls


async def has_snapshot(fleet: standins.Fleet) -> bool:
    """Tell whether the store has_revision a snapshot."""
    entries = await read_store_entries(fleet, messages.MANIFEST_KEY)
    return bool(entries)
