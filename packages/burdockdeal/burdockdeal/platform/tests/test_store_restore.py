"""The store's client while the store comes back from an old copy."""

from collections import abc
import contextlib

from aiohttp import test_utils
import pytest

from burdockdeal.core import errors
from burdockdeal.platform import messages
from burdockdeal.platform import store
from burdockdeal.platform import wire
from burdockdeal.settings import model
from burdockdeal_standins import store as standin


@contextlib.asynccontextmanager
async def run_store() -> abc.AsyncIterator[
    tuple[store.StoreClient, standin.StoreState]
]:
    data = standin.StoreState()
    async with test_utils.TestServer(standin.build_app(data)) as server:
        address = model.Address("127.0.0.1", server.port)
        async with store.StoreClient(address) as client:
            yield client, data


def write_as_other(data: standin.StoreState, key: str, value: str) -> None:
    data.commit(wire.Transaction(puts=(wire.encode_put(key, value, 0),)))


async def lose_a_write(
    client: store.StoreClient, data: standin.StoreState
) -> messages.Version:
    """Let the store lose a write, whose revision another value gets.

    :returns: the version of the lost write.
    """
    first = await client.put("a", "1", version=messages.ABSENT)
    data.take_copy()
    lost = await client.put("a", "2", version=first)
    data.restore()
    write_as_other(data, "a", "3")
    assert data.find_version("a") == lost.revision
    return lost


async def test_a_write_on_a_lost_revision_is_not_sent() -> None:
    """Guards against overwriting a value that was never read."""
    async with run_store() as (client, data):
        lost = await lose_a_write(client, data)
        assert (await client.get("a")).version != lost
        before = data.counts.writes
        with pytest.raises(errors.StoreVersionOutdatedError):
            await client.put("a", "4", version=lost)
        with pytest.raises(errors.StoreVersionOutdatedError):
            await client.delete("a", version=lost)
        assert data.counts.writes == before
        assert (await client.get("a")).value == "3"


async def test_a_write_answered_in_a_new_era_is_uncertain() -> None:
    """Guards against taking a write on a value never read for a success."""
    async with run_store() as (client, data):
        lost = await lose_a_write(client, data)
        with pytest.raises(errors.StoreEraError):
            await client.put("a", "4", version=lost)
        assert client.era == 1


async def test_absence_is_known_for_its_era_only() -> None:
    """Guards against a key created on a read of another era."""
    async with run_store() as (client, data):
        assert await client.get("a") is None
        absent = client.absent_version
        data.restore()
        await client.get("a")
        with pytest.raises(errors.StoreVersionOutdatedError):
            await client.put("a", "1", version=absent)
        await client.put("a", "1", version=client.absent_version)


@pytest.mark.parametrize("learns_first", [True, False])
async def test_a_watch_position_of_an_earlier_era_is_read_anew(
    learns_first: bool,
) -> None:
    """Guards against missing what came before the position in a new era."""
    async with run_store() as (client, data):
        lost = await lose_a_write(client, data)
        if learns_first:
            await client.get("a")
        listing = await client.watch("a", after=lost, wait_s=0.1)
        assert [entry.value for entry in listing.entries] == ["3"]
        assert listing.version == messages.Version(1, lost.revision)


async def test_a_response_of_an_older_era_is_an_error() -> None:
    """Guards against reading what the store held before its restore."""
    async with run_store() as (client, data):
        await client.put("a", "1", version=messages.ABSENT)
        data.era = 3
        await client.get("a")
        data.era = 2
        with pytest.raises(errors.StoreEraError):
            await client.get("a")
        assert client.era == 3


async def test_pages_of_two_eras_are_not_joined() -> None:
    """Guards against a listing of keys that never existed together."""
    async with run_store() as (client, data):
        for number in range(standin.MAX_PAGE_ITEMS + 1):
            write_as_other(data, f"a/{number:04d}", "old")
        data.take_copy()
        await client.get("a")
        list_items = data.list_items

        def restore_between_pages(prefix, after, items):
            if after and data.era is None:
                data.restore()
                for key in data.keys[:]:
                    write_as_other(data, key, "new")
            return list_items(prefix, after, data.items)

        data.list_items = restore_between_pages
        listing = await client.list("a/")
        assert {entry.value for entry in listing.entries} == {"new"}
        assert len(listing.entries) == standin.MAX_PAGE_ITEMS + 1


@pytest.mark.parametrize(
    "header", [None, "", "-1", "1.5", "none", "9" * 400, "٣"]
)
def test_a_missing_or_odd_era_is_0(header: str | None) -> None:
    assert wire.parse_era(header) == 0


async def test_a_store_without_the_header_is_served_as_before() -> None:
    async with run_store() as (client, _):
        seen: list[int] = []
        client.on_new_era(seen.append)
        version = await client.put("a", "1", version=messages.ABSENT)
        version = await client.put("a", "2", version=version)
        assert version == messages.Version(0, 2)
        assert not seen
