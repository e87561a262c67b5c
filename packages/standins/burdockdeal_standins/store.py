"""A stand-in for the platform's store, with faults to order.

It holds everything in memory. Faults are set through /admin/faults: an
outage, a delay, answers that are lost after a write took effect.
"""

import asyncio
import bisect
import dataclasses
import itertools
import time

from aiohttp import web
import fire

from burdockdeal.core import codec
from burdockdeal.platform import messages
from burdockdeal_standins import process

VALUE_LIMIT_BYTES = 1_000_000


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


class Data:
    """The keys, leases and counts of one store."""

    def __init__(self) -> None:
        self.entries: dict[str, messages.Entry] = {}
        self.keys: list[str] = []
        self.leased: dict[str, str] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.before: dict[str, messages.Entry] = {}
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
        entry = self.entries.get(key)
        return entry.version if entry else 0

    def put(self, key: str, value: str) -> int:
        """Write a key."""
        self.revision += 1
        if key in self.entries:
            self.before[key] = self.entries[key]
        else:
            bisect.insort(self.keys, key)
        self.entries[key] = messages.Entry(key, value, self.revision)
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        del self.entries[key]
        self.before.pop(key, None)
        self.keys.remove(key)
        self.leased.pop(key, None)

    def below(self, prefix: str, start: str) -> list[messages.Entry]:
        """List the entries below a prefix from a key on."""
        position = bisect.bisect_left(self.keys, max(prefix, start))
        found = itertools.takewhile(
            lambda key: key.startswith(prefix), self.keys[position:]
        )
        return [self.entries[key] for key in found]

    def lapse(self) -> None:
        """End the leases whose time is over, and their keys."""
        now = time.monotonic()
        over = {
            lease for lease, (until, _) in self.leases.items() if until < now
        }
        for lease in over:
            del self.leases[lease]
        for key in [k for k, lease in self.leased.items() if lease in over]:
            self.remove(key)


def _reply(message: object, status: int = 200) -> web.Response:
    return web.Response(
        body=codec.encode(message),
        status=status,
        content_type="application/json",
    )


def build_app(data: Data) -> web.Application:
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

    def see(key: str) -> messages.Entry | None:
        if use_up("stale_reads"):
            return data.before.get(key)
        return data.entries.get(key)

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
        entry = see(request.match_info["key"])
        return _reply(entry) if entry else web.Response(status=404)

    async def put(request: web.Request) -> web.Response:
        data.count("writes")
        key = request.match_info["key"]
        value = (await request.read()).decode()
        if len(value) > VALUE_LIMIT_BYTES:
            return web.Response(status=413)
        await delay_write(request)
        if int(request.query["version"]) != data.version(key):
            return _reply(messages.Written(data.version(key)), 409)
        lease = request.query.get("lease", "")
        if lease and lease not in data.leases:
            return _reply(messages.Written(data.version(key)), 409)
        version = data.put(key, value)
        if lease:
            data.leased[key] = lease
        await tell()
        await lose_answer(request)
        return _reply(messages.Written(version))

    async def delete(request: web.Request) -> web.Response:
        data.count("writes")
        key = request.match_info["key"]
        if int(request.query["version"]) != data.version(key):
            return _reply(messages.Written(data.version(key)), 409)
        data.remove(key)
        await tell()
        await lose_answer(request)
        return _reply(messages.Written(0))

    async def listing(request: web.Request) -> web.Response:
        data.count("reads")
        found = data.below(
            request.query["prefix"], request.query.get("start", "")
        )
        if use_up("stale_reads"):
            found = [e for e in found if e.version < data.revision]
        limit = int(request.query.get("limit", "1000"))
        return _reply(messages.Listing(tuple(found[:limit]), data.revision))

    async def watch(request: web.Request) -> web.Response:
        data.count("watches")
        after = int(request.query["after"])
        prefix = request.query["prefix"]

        def newer() -> list[messages.Entry]:
            return [e for e in data.below(prefix, "") if e.version > after]

        try:
            async with asyncio.timeout(float(request.query["wait_s"])):
                async with data.changed:
                    await data.changed.wait_for(
                        lambda: newer() or data.faults.outage
                    )
        except TimeoutError:
            pass
        if data.faults.outage:
            return web.Response(status=503)
        return _reply(messages.Listing(tuple(newer()), data.revision))

    async def grant(request: web.Request) -> web.Response:
        data.count("leases")
        ttl_s = float(request.query["ttl_s"])
        lease = f"lease-{next(data.numbers)}"
        data.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return _reply(messages.Lease(lease, ttl_s))

    async def renew(request: web.Request) -> web.Response:
        data.count("leases")
        lease = request.match_info["lease"]
        if lease not in data.leases:
            return web.Response(status=404)
        ttl_s = data.leases[lease][1]
        data.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return _reply(messages.Lease(lease, ttl_s))

    async def set_faults(request: web.Request) -> web.Response:
        data.faults = codec.decode(await request.read(), Faults)
        await tell()
        return _reply(data.faults)

    async def show_counts(request: web.Request) -> web.Response:
        return _reply(data.counts)

    app = web.Application(
        middlewares=[meet_faults], client_max_size=2 * VALUE_LIMIT_BYTES
    )
    app.router.add_get("/v1/kv/{key:.+}", get)
    app.router.add_put("/v1/kv/{key:.+}", put)
    app.router.add_delete("/v1/kv/{key:.+}", delete)
    app.router.add_get("/v1/list", listing)
    app.router.add_get("/v1/watch", watch)
    app.router.add_post("/v1/leases", grant)
    app.router.add_post("/v1/leases/{lease}", renew)
    app.router.add_put("/admin/faults", set_faults)
    app.router.add_get("/admin/counts", show_counts)
    return app


def serve(*, host: str = "127.0.0.1", port: int) -> None:
    """Run the store until SIGTERM.

    :param port: where it listens.
    """

    async def main() -> None:
        await process.serve_app(build_app(Data()), host, port)

    asyncio.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
