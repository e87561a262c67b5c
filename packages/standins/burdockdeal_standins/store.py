"""An in-memory test double of the platform's store, with fault injection.

Faults are set through /admin/faults: an outage, a delay, responses that are
lost after a write took effect, late writes and stale reads. /admin/copy takes
a copy of the store, and /admin/restore lets it come back from that copy.
"""

import asyncio
import dataclasses
import time

from aiohttp import web
import fire

from burdockdeal.core import codec
from burdockdeal.platform import wire
from burdockdeal_standins import process
from burdockdeal_standins import store_data

VALUE_LIMIT_BYTES = 1_048_576

#: The size limit of a value in base64.
ENCODED_LIMIT_BYTES = VALUE_LIMIT_BYTES * 4 // 3 + 4

#: Maximum length of a key.
MAX_KEY_BYTES = 200

#: Maximum number of items on one page of a listing.
MAX_PAGE_ITEMS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """The faults that the store injects.

    :param outage: refuse every call with 503.
    :param silent: never respond to any call.
    :param delay_ms: added delay of each call, in milliseconds.
    :param lose_answers: number of writes that take effect but whose
        response is lost.
    :param late_writes: number of writes whose connection is aborted at once
        and that take effect only later.
    :param late_ms: how much later they take effect, in milliseconds.
    :param stale_reads: number of reads that return the state before the
        last write.
    """

    outage: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    late_writes: int = 0
    late_ms: float = 1000.0
    stale_reads: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Calls received by kind; a watch counts as one call."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0


class StoreState(store_data.StoreData):
    """The data, counters and faults of one store."""

    def __init__(self) -> None:
        super().__init__()
        self.counts = Counts()
        self.faults = Faults()
        self.changed = asyncio.Condition()

    def count(self, kind: str) -> None:
        """Count a call of a kind, a field of Counts."""
        count = getattr(self.counts, kind) + 1
        self.counts = dataclasses.replace(self.counts, **{kind: count})


def _reply(message: object, status: int = 200) -> web.Response:
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
    )


def build_app(state: StoreState) -> web.Application:
    """Build the HTTP interface of the store."""

    def consume_fault(fault: str) -> bool:
        remaining = getattr(state.faults, fault)
        if remaining > 0:
            state.faults = dataclasses.replace(
                state.faults, **{fault: remaining - 1}
            )
        return remaining > 0

    def abort_connection(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()

    async def lose_answer(request: web.Request) -> None:
        if consume_fault("lose_answers"):
            abort_connection(request)

    async def delay_write(request: web.Request) -> None:
        if consume_fault("late_writes"):
            late_s = state.faults.late_ms / 1000
            abort_connection(request)
            await asyncio.sleep(late_s)

    def visible_items() -> dict[str, wire.Item]:
        if consume_fault("stale_reads"):
            return {**state.items, **state.previous_items}
        return state.items

    async def notify_watches() -> None:
        async with state.changed:
            state.changed.notify_all()

    @web.middleware
    async def inject_faults(request: web.Request, handler):
        if request.path.startswith("/admin/"):
            return await handler(request)
        state.expire_leases()
        if state.faults.silent:
            await asyncio.sleep(3600)
        if state.faults.outage:
            return web.Response(status=503)
        if state.faults.delay_ms:
            await asyncio.sleep(state.faults.delay_ms / 1000)
        return await handler(request)

    async def get(request: web.Request) -> web.Response:
        state.count("reads")
        item = visible_items().get(request.query["key"])
        return _reply(item) if item else web.Response(status=404)

    async def change(request: web.Request) -> web.Response:
        state.count("writes")
        wanted = codec.decode(await request.read(), wire.Transaction)
        if any(len(put.value) > ENCODED_LIMIT_BYTES for put in wanted.puts):
            return web.Response(status=413)
        await delay_write(request)
        if any(
            state.find_version(expected.key) != expected.revision
            for expected in wanted.expected
        ):
            current = (state.items.get(each.key) for each in wanted.expected)
            return _reply(wire.Conflict(tuple(filter(None, current))), 412)
        if any(len(put.key.encode()) > MAX_KEY_BYTES for put in wanted.puts):
            return web.Response(status=400)
        if any(
            put.lease and put.lease not in state.leases for put in wanted.puts
        ):
            return web.Response(status=404)
        revision = state.commit(wanted)
        await notify_watches()
        await lose_answer(request)
        return _reply(wire.Committed(revision))

    async def listing(request: web.Request) -> web.Response:
        state.count("reads")
        found = state.list_items(
            request.query["pathPrefix"],
            request.query.get("after", ""),
            visible_items(),
        )
        page = tuple(found[:MAX_PAGE_ITEMS])
        more = len(found) > MAX_PAGE_ITEMS
        return _reply(wire.Page(state.revision, page, more))

    async def watch(request: web.Request) -> web.Response:
        state.count("watches")
        after = int(request.query["after"])
        prefix = request.query["pathPrefix"]
        era = state.era

        def is_gone() -> bool:
            return state.era != era or not state.has_history(after)

        if is_gone():
            return web.Response(status=410)

        def can_respond() -> bool:
            newer = state.list_changes(prefix, after)
            return bool(newer) or state.faults.outage or is_gone()

        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                async with state.changed:
                    await state.changed.wait_for(can_respond)
        except TimeoutError:
            pass
        if state.faults.outage:
            return web.Response(status=503)
        if is_gone():
            return web.Response(status=410)
        return _reply(
            wire.Events(state.revision, state.list_changes(prefix, after))
        )

    async def grant_lease(request: web.Request) -> web.Response:
        state.count("leases")
        wanted = codec.decode(await request.read(), wire.LeaseRequest)
        ttl_s = wanted.ttl_ms / 1000
        lease_id = next(state.lease_ids)
        state.leases[lease_id] = store_data.Lease(
            time.monotonic() + ttl_s, ttl_s
        )
        return _reply(wire.LeaseGrant(lease_id, wanted.ttl_ms))

    async def renew_lease(request: web.Request) -> web.Response:
        state.count("leases")
        lease_id = int(request.match_info["lease"])
        if lease_id not in state.leases:
            return web.Response(status=404)
        ttl_s = state.leases[lease_id].ttl_s
        state.leases[lease_id] = store_data.Lease(
            time.monotonic() + ttl_s, ttl_s
        )
        return _reply(wire.LeaseGrant(lease_id, round(ttl_s * 1000)))

    async def end_lease(request: web.Request) -> web.Response:
        state.count("leases")
        lease_id = int(request.match_info["lease"])
        if lease_id not in state.leases:
            return web.Response(status=404)
        state.leases[lease_id] = store_data.Lease(0.0, 0.0)
        state.expire_leases()
        await notify_watches()
        return web.Response()

    async def compact(request: web.Request) -> web.Response:
        state.compact()
        await notify_watches()
        return web.Response()

    async def take_copy(request: web.Request) -> web.Response:
        state.take_copy()
        return web.Response()

    async def restore(request: web.Request) -> web.Response:
        state.restore()
        await notify_watches()
        return web.Response()

    async def set_faults(request: web.Request) -> web.Response:
        state.faults = codec.decode(await request.read(), Faults)
        await notify_watches()
        return _reply(state.faults)

    async def show_counts(request: web.Request) -> web.Response:
        return _reply(state.counts)

    async def add_era(
        request: web.Request, response: web.StreamResponse
    ) -> None:
        if state.era is not None:
            response.headers[wire.ERA_HEADER] = str(state.era)

    app = web.Application(
        middlewares=[inject_faults], client_max_size=2 * VALUE_LIMIT_BYTES
    )
    app.on_response_prepare.append(add_era)
    app.router.add_get("/api/kv-key", get)
    app.router.add_get("/api/kv-range", listing)
    app.router.add_get("/api/kv-watch", watch)
    app.router.add_post("/api/kv-txn", change)
    app.router.add_post("/api/kv-lease", grant_lease)
    app.router.add_post("/api/kv-keep/{lease}", renew_lease)
    app.router.add_delete("/api/kv-lease-end/{lease}", end_lease)
    app.router.add_post("/admin/compact", compact)
    app.router.add_post("/admin/copy", take_copy)
    app.router.add_post("/admin/restore", restore)
    app.router.add_put("/admin/faults", set_faults)
    app.router.add_get("/admin/counts", show_counts)
    return app


def serve(*, host: str = "127.0.0.1", port: int) -> None:
    """Run the store until SIGTERM.

    :param port: port to listen on.
    """

    async def main() -> None:
        await process.serve_app(build_app(StoreState()), host, port)

    asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
