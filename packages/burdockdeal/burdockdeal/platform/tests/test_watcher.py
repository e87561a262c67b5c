"""Watching the configuration although watches can miss changes."""

import asyncio
from collections import abc
import json
import random

import pytest

from burdockdeal.configuration import active_configuration
from burdockdeal.core import errors
from burdockdeal.platform import configuration
from burdockdeal.platform import messages
from burdockdeal.platform import watcher


def encode_document(number: int) -> str:
    document = {"version": f"r{number}", "routes": [], "services": []}
    return json.dumps(document)


class FakeStore:
    """A store whose watches can lose events."""

    def __init__(self) -> None:
        self.value = encode_document(1)
        self.version = messages.Version(0, 10)
        self.era = 0
        self.watches_lose_events = False
        self.is_down = False
        self.read_count = 0
        self.event = asyncio.Event()

    def put(self, number: int) -> None:
        self.value = encode_document(number)
        self.version = messages.Version(0, self.version.revision + 1)
        if not self.watches_lose_events:
            self.event.set()

    async def get(
        self, key: str, *, timeout_s: float | None = None
    ) -> messages.Entry:
        self.read_count += 1
        if self.is_down:
            raise errors.StoreUnavailableError("down")
        return messages.Entry(key, self.value, self.version)

    async def watch(
        self, prefix: str, *, after: messages.Version, wait_s: float
    ) -> messages.Listing:
        await self.event.wait()
        self.event.clear()
        if self.watches_lose_events:
            # The watch is interrupted, and the history with the change has
            # been discarded.
            return messages.Listing((), self.version)
        entry = messages.Entry(prefix, self.value, self.version)
        return messages.Listing((entry,), self.version)


async def ask_nobody() -> None:
    """Ask no other daemon to read."""


def build_watcher(
    store: FakeStore,
    in_force: active_configuration.ActiveConfiguration,
    *,
    polls: bool,
    watches: bool = True,
    ask_to_read: abc.Callable[[], abc.Awaitable[None]] = ask_nobody,
    settling_s: float = 0.0,
) -> watcher.Watcher:
    return watcher.Watcher(
        store,
        in_force,
        random.Random(1),
        is_watcher=lambda: watches,
        is_poller=lambda: polls,
        ask_to_read=ask_to_read,
        poll_interval_s=0.05,
        settling_s=settling_s,
    )


async def wait_for_revision(
    in_force: active_configuration.ActiveConfiguration, revision: int
) -> None:
    async with asyncio.timeout(5):
        await in_force.wait_for_revision(revision - 1, 5)
    assert in_force.revision == revision


async def test_a_change_is_applied() -> None:
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    async with build_watcher(store, in_force, polls=False):
        await wait_for_revision(in_force, 1)
        store.put(4)
        await wait_for_revision(in_force, 4)


async def test_a_watch_that_ends_without_an_event_is_followed_by_a_read() -> (
    None
):
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    async with build_watcher(store, in_force, polls=False):
        await wait_for_revision(in_force, 1)
        store.watches_lose_events = True
        store.put(9)
        store.event.set()
        await wait_for_revision(in_force, 9)


async def test_polling_finds_a_change_that_the_watch_missed() -> None:
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    async with build_watcher(store, in_force, polls=True):
        await wait_for_revision(in_force, 1)
        store.watches_lose_events = True
        store.put(9)
        await wait_for_revision(in_force, 9)


async def test_an_older_or_invalid_configuration_is_ignored() -> None:
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    async with build_watcher(store, in_force, polls=True):
        store.put(7)
        await wait_for_revision(in_force, 7)
        store.put(5)
        await asyncio.sleep(0.2)
        assert in_force.revision == 7
        store.value = '{"version": 8}'
        await asyncio.sleep(0.2)
        assert in_force.revision == 7
        store.put(8)
        await wait_for_revision(in_force, 8)


async def test_the_watcher_recovers_after_an_outage() -> None:
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    store.is_down = True
    async with build_watcher(store, in_force, polls=False):
        await asyncio.sleep(0.3)
        assert not in_force.revision
        store.is_down = False
        await wait_for_revision(in_force, 1)
    assert 2 <= store.read_count < 20
    assert configuration.KEY


async def test_a_daemon_that_is_no_reader_makes_no_calls() -> None:
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    async with build_watcher(store, in_force, polls=False, watches=False):
        await asyncio.sleep(0.3)
    assert not store.read_count


async def test_the_configuration_of_the_first_listing_is_applied() -> None:
    """A start takes one call: the listing with contacts and configuration."""
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    entry = messages.Entry(configuration.KEY, encode_document(3), 10)
    other = messages.Entry("op-members/a", "{}", 11)
    async with build_watcher(
        store, in_force, polls=True, settling_s=5.0
    ) as service:
        service.apply_listing(messages.Listing((other, entry), 11))
        assert in_force.revision == 3
        await asyncio.sleep(0.2)
    assert not store.read_count


async def test_other_daemons_are_asked_to_read_if_a_poll_fails() -> None:
    """The store refuses the poller alone, and no watch reports the change."""
    store, in_force = FakeStore(), active_configuration.ActiveConfiguration()
    reachable = FakeStore()
    helper_in_force = active_configuration.ActiveConfiguration()
    helper = build_watcher(
        reachable, helper_in_force, polls=False, watches=False
    )
    store.is_down = True
    reachable.put(8)
    async with (
        helper,
        build_watcher(
            store, in_force, polls=True, watches=False, ask_to_read=helper.read
        ),
    ):
        await wait_for_revision(helper_in_force, 8)


async def test_a_configuration_that_the_store_lost_stays_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restored store that takes the configuration back.

    One line says what the operator has to write again.
    """
    warned: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        watcher.event_log,
        "warn",
        lambda event, **fields: warned.append((event, fields)),
    )
    store = FakeStore()
    in_force = active_configuration.ActiveConfiguration()
    store.put(5)
    reader = build_watcher(store, in_force, polls=False)
    await reader.read()
    store.era, store.value = 1, encode_document(4)
    await reader.read()
    await reader.read()
    assert in_force.revision == 5
    lost = {"in_force": 5, "stored": 4, "era": 1}
    assert warned == [("configuration_lost_by_store", lost)]
