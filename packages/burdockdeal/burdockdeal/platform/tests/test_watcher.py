"""Following the configuration, whatever the store leaves out."""

import asyncio
import json
import random

from burdockdeal.configuration import active_configuration
from burdockdeal.core import errors
from burdockdeal.platform import configuration
from burdockdeal.platform import messages
from burdockdeal.platform import watcher


def write(number: int) -> str:
    return json.dumps({"version": f"r{number}"})


class Store:
    """A store whose watches may tell nothing."""

    def __init__(self) -> None:
        self.value = write(1)
        self.revision = 10
        self.deaf = False
        self.down = False
        self.reads = 0
        self.told = asyncio.Event()

    def put(self, number: int) -> None:
        self.value = write(number)
        self.revision += 1
        if not self.deaf:
            self.told.set()

    async def get(self, key: str) -> messages.Entry:
        self.reads += 1
        if self.down:
            raise errors.StoreUnavailableError("down")
        return messages.Entry(key, self.value, self.revision)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> messages.Listing:
        await self.told.wait()
        self.told.clear()
        if self.deaf:
            # Cut, with the history gone that held the change.
            return messages.Listing((), self.revision)
        entry = messages.Entry(prefix, self.value, self.revision)
        return messages.Listing((entry,), self.revision)


def follow(
    store: Store,
    in_force: active_configuration.ActiveConfiguration,
    *,
    reads: bool,
) -> watcher.Watcher:
    return watcher.Watcher(
        store,
        in_force,
        random.Random(1),
        is_watcher=lambda: True,
        is_reader=lambda: reads,
        read_s=0.05,
    )


async def reach(
    in_force: active_configuration.ActiveConfiguration, revision: int
) -> None:
    async with asyncio.timeout(5):
        await in_force.wait_for_revision(revision - 1, 5)
    assert in_force.revision == revision


async def test_a_change_is_followed() -> None:
    store, in_force = Store(), active_configuration.ActiveConfiguration()
    async with follow(store, in_force, reads=False):
        await reach(in_force, 1)
        store.put(4)
        await reach(in_force, 4)


async def test_a_watch_that_ends_without_an_event_is_not_believed() -> None:
    store, in_force = Store(), active_configuration.ActiveConfiguration()
    async with follow(store, in_force, reads=False):
        await reach(in_force, 1)
        store.deaf = True
        store.put(9)
        store.told.set()
        await reach(in_force, 9)


async def test_a_change_is_found_though_the_watch_tells_nothing() -> None:
    store, in_force = Store(), active_configuration.ActiveConfiguration()
    async with follow(store, in_force, reads=True):
        await reach(in_force, 1)
        store.deaf = True
        store.put(9)
        await reach(in_force, 9)


async def test_an_older_or_unreadable_one_changes_nothing() -> None:
    store, in_force = Store(), active_configuration.ActiveConfiguration()
    async with follow(store, in_force, reads=True):
        store.put(7)
        await reach(in_force, 7)
        store.put(5)
        await asyncio.sleep(0.2)
        assert in_force.revision == 7
        store.value = '{"version": 8}'
        await asyncio.sleep(0.2)
        assert in_force.revision == 7
        store.put(8)
        await reach(in_force, 8)


async def test_an_outage_is_ridden_out() -> None:
    store, in_force = Store(), active_configuration.ActiveConfiguration()
    store.down = True
    async with follow(store, in_force, reads=False):
        await asyncio.sleep(0.3)
        assert not in_force.revision
        store.down = False
        await reach(in_force, 1)
    assert 2 <= store.reads < 20
    assert configuration.KEY
