"""A stand-in for the platform's store, with faults to order.

It holds everything in memory. Faults are set through /admin/faults: an
outage, a delay, answers that are lost after a write took effect.
"""

import asyncio
import bisect
import collections
import dataclasses
import itertools
import time

from aiohttp import web
import fire

from burdockdeal.core import codec
from burdockdeal.platform import wire
from burdockdeal_standins import process

VALUE_LIMIT_BYTES = 1_048_576

#: The same in base64.
ENCODED_LIMIT_BYTES = VALUE_LIMIT_BYTES * 4 // 3 + 4

#: Items of one page of a listing.
PAGE_ITEMS = 500

#: Changes that watches can still be told.
HISTORY_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong at the store.

    :param outage: every call is refused with 503.
    :param silent: every call is left without an answer.
    :param delay_ms: each call takes this much longer.
    :param lose_answers: so many writes take effect and lose their answer.
    :param late_writes: so many writes lose their answer at once and reach
        the store only later.
    :param late_ms: how much later, in milliseconds.
    :param stale_reads: so many reads show the state before the last
        write.
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
    """Calls that were made, a watch counting as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease.

    :param until: monotonic time at which it ends, in seconds.
    :param ttl_s: seconds that it lasts after each renewal.
    """

    until: float
    ttl_s: float


class StoreState:
    """The keys, leases, history and counts of one store."""

    def __init__(self) -> None:
        self.items: dict[str, wire.Item] = {}
        self.keys: list[str] = []
        self.leases: dict[int, Lease] = {}
        self.before: dict[str, wire.Item] = {}
        self.history: collections.deque[wire.Item] = collections.deque(
            maxlen=HISTORY_EVENTS
        )
        #: The last revision that the history no longer holds.
        self.compacted = 0
        self.revision = 0
        self.counts = Counts()
        self.faults = Faults()
        self.changed = asyncio.Condition()
        self.numbers = itertools.count(1)

    def count(self, kind: str) -> None:
        """Count a call."""
        number = getattr(self.counts, kind) + 1
        self.counts = dataclasses.replace(self.counts, **{kind: number})

    def version(self, key: str) -> int:
        """Tell the version that stands, 0 for none."""
        item = self.items.get(key)
        return item.revision if item else 0

    def commit(self, change: wire.Transaction) -> int:
        """Carry out the writes of a transaction, at one revision."""
        self.revision += 1
        for put in change.puts:
            self._put(put)
        for key in change.remove:
            if key in self.items:
                self._remove(key)
        return self.revision

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.compacted = self.revision

    def since(self, prefix: str, revision: int) -> tuple[wire.Item, ...]:
        """List the changes below a prefix after a revision."""
        return tuple(
            item
            for item in self.history
            if item.revision > revision and item.key.startswith(prefix)
        )

    def below(
        self, prefix: str, after: str, held: dict[str, wire.Item]
    ) -> list[wire.Item]:
        """List the items below a prefix that follow a key."""
        position = bisect.bisect_right(self.keys, after)
        position = max(position, bisect.bisect_left(self.keys, prefix))
        found = itertools.takewhile(
            lambda key: key.startswith(prefix), self.keys[position:]
        )
        return [held[key] for key in found if key in held]

    def lapse(self) -> None:
        """End the leases whose time is over, and their keys."""
        now = time.monotonic()
        over = {
            number
            for number, lease in self.leases.items()
            if lease.until < now
        }
        for number in over:
            del self.leases[number]
        lapsed = tuple(
            key for key, item in self.items.items() if item.lease in over
        )
        if lapsed:
            self.commit(wire.Transaction(remove=lapsed))

    def _put(self, put: wire.Put) -> None:
        if put.key in self.items:
            self.before[put.key] = self.items[put.key]
        else:
            bisect.insort(self.keys, put.key)
        item = wire.Item(put.key, put.value, self.revision, put.lease)
        self.items[put.key] = item
        self._note(item)

    def _remove(self, key: str) -> None:
        del self.items[key]
        self.before.pop(key, None)
        self.keys.remove(key)
        self._note(wire.Item(key, revision=self.revision, tombstone=True))

    def _note(self, item: wire.Item) -> None:
        if len(self.history) == self.history.maxlen:
            self.compacted = self.history[0].revision
        self.history.append(item)


def _reply(message: object, status: int = 200) -> web.Response:
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
    )


def build_app(data: StoreState) -> web.Application:
    """Build the store's HTTP interface."""

    def use_up(fault: str) -> bool:
        left = getattr(data.faults, fault)
        if left > 0:
            data.faults = dataclasses.replace(data.faults, **{fault: left - 1})
        return left > 0

    def cut_off(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()

    async def lose_answer(request: web.Request) -> None:
        if use_up("lose_answers"):
            cut_off(request)

    async def delay_write(request: web.Request) -> None:
        if use_up("late_writes"):
            late_s = data.faults.late_ms / 1000
            cut_off(request)
            await asyncio.sleep(late_s)

    def see() -> dict[str, wire.Item]:
        if use_up("stale_reads"):
            return {**data.items, **data.before}
        return data.items

    async def tell() -> None:
        async with data.changed:
            data.changed.notify_all()

    @web.middleware
    async def meet_faults(request: web.Request, handler):
        if request.path.startswith("/admin/"):
            return await handler(request)
        data.lapse()
        if data.faults.silent:
            await asyncio.sleep(3600)
        if data.faults.outage:
            return web.Response(status=503)
        if data.faults.delay_ms:
            await asyncio.sleep(data.faults.delay_ms / 1000)
        return await handler(request)

    async def get(request: web.Request) -> web.Response:
        data.count("reads")
        item = see().get(request.query["key"])
        return _reply(item) if item else web.Response(status=404)

    async def change(request: web.Request) -> web.Response:
        data.count("writes")
        wanted = codec.decode(await request.read(), wire.Transaction)
        if any(len(put.value) > ENCODED_LIMIT_BYTES for put in wanted.puts):
            return web.Response(status=413)
        await delay_write(request)
        if any(
            data.version(expected.key) != expected.revision
            for expected in wanted.expected
        ):
            stand = (data.items.get(each.key) for each in wanted.expected)
            return _reply(wire.Conflict(tuple(filter(None, stand))), 412)
        if any(
            put.lease and put.lease not in data.leases for put in wanted.puts
        ):
            return web.Response(status=404)
        revision = data.commit(wanted)
        await tell()
        await lose_answer(request)
        return _reply(wire.Committed(revision))

    async def listing(request: web.Request) -> web.Response:
        data.count("reads")
        found = data.below(
            request.query["pathPrefix"], request.query.get("after", ""), see()
        )
        page = tuple(found[:PAGE_ITEMS])
        more = len(found) > PAGE_ITEMS
        return _reply(wire.Page(data.revision, page, more))

    async def watch(request: web.Request) -> web.Response:
        data.count("watches")
        after = int(request.query["after"])
        prefix = request.query["pathPrefix"]
        if after < data.compacted:
            return web.Response(status=410)

        def may_end() -> bool:
            newer = data.since(prefix, after)
            return bool(newer) or data.faults.outage or after < data.compacted

        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                async with data.changed:
                    await data.changed.wait_for(may_end)
        except TimeoutError:
            pass
        if data.faults.outage:
            return web.Response(status=503)
        if after < data.compacted:
            return web.Response(status=410)
        return _reply(wire.Events(data.revision, data.since(prefix, after)))

    async def grant(request: web.Request) -> web.Response:
        data.count("leases")
        wanted = codec.decode(await request.read(), wire.LeaseRequest)
        ttl_s = wanted.ttl_ms / 1000
        number = next(data.numbers)
        data.leases[number] = Lease(time.monotonic() + ttl_s, ttl_s)
        return _reply(wire.LeaseGrant(number, wanted.ttl_ms))

    async def renew(request: web.Request) -> web.Response:
        data.count("leases")
        number = int(request.match_info["lease"])
        if number not in data.leases:
            return web.Response(status=404)
        ttl_s = data.leases[number].ttl_s
        data.leases[number] = Lease(time.monotonic() + ttl_s, ttl_s)
        return _reply(wire.LeaseGrant(number, round(ttl_s * 1000)))

    async def end(request: web.Request) -> web.Response:
        data.count("leases")
        number = int(request.match_info["lease"])
        if number not in data.leases:
            return web.Response(status=404)
        data.leases[number] = Lease(0.0, 0.0)
        data.lapse()
        await tell()
        return web.Response()

    async def compact(request: web.Request) -> web.Response:
        data.compact()
        await tell()
        return web.Response()

    async def set_faults(request: web.Request) -> web.Response:
        data.faults = codec.decode(await request.read(), Faults)
        await tell()
        return _reply(data.faults)

    async def show_counts(request: web.Request) -> web.Response:
        return _reply(data.counts)

    app = web.Application(
        middlewares=[meet_faults], client_max_size=2 * VALUE_LIMIT_BYTES
    )
    app.router.add_get("/api/kv-key", get)
    app.router.add_get("/api/kv-range", listing)
    app.router.add_get("/api/kv-watch", watch)
    app.router.add_post("/api/kv-txn", change)
    app.router.add_post("/api/kv-lease", grant)
    app.router.add_post("/api/kv-keep/{lease}", renew)
    app.router.add_delete("/api/kv-lease-end/{lease}", end)
    app.router.add_post("/admin/compact", compact)
    app.router.add_put("/admin/faults", set_faults)
    app.router.add_get("/admin/counts", show_counts)
    return app


def serve(*, host: str = "127.0.0.1", port: int) -> None:
    """Run the store until SIGTERM.

    :param port: where it listens.
    """

    async def main() -> None:
        await process.serve_app(build_app(StoreState()), host, port)

    asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
