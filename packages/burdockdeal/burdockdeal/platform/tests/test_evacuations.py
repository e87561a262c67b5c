"""The operator's evacuations in listings of the store."""

import pytest

from burdockdeal.core import event_log
from burdockdeal.evacuation import active
from burdockdeal.platform import evacuations
from burdockdeal.platform import messages
from burdockdeal.platform.tests import test_store
from burdockdeal_standins import store as standin


def apply(*keys: str) -> tuple[str, ...]:
    applied = active.ActiveEvacuation(is_enabled=True)
    reader = evacuations.EvacuationReader(applied)
    entries = tuple(
        messages.Entry(key, "{}", messages.Version(0, 7)) for key in keys
    )
    for revision in (7, 8):
        reader.apply_listing(
            messages.Listing(entries, messages.Version(0, revision))
        )
    return applied.current.domains


def test_keys_with_odd_names_are_ignored_and_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another key must not hide an evacuation, nor fill the log."""
    logged = []
    monkeypatch.setattr(
        event_log, "warn", lambda event, **fields: logged.append(fields["key"])
    )
    odd = ("", " ", " a", "a ", "a\x00", "a" * 5000, "a\nb")
    keys = [evacuations.KEY_PREFIX + name for name in ("b", *odd, "a")]
    assert apply("op/config", "op/evacuated", *keys) == ("a", "b")
    assert len(logged) == len(odd)
    assert max(map(len, logged)) <= 100


@pytest.mark.parametrize("name", ["A", "a_b", "a/b", "é", "-", "a" * 188])
def test_a_domain_of_any_name_is_evacuated(name: str) -> None:
    assert apply(evacuations.KEY_PREFIX + name) == (name,)


async def test_all_pages_of_a_listing_are_read() -> None:
    """A listing that ends early would end the evacuations behind its end.

    Its revision is that of its first page: a change to that page while the
    next is read is then still newer.
    """
    async with test_store.run_store() as (client, data):
        count = 2 * standin.MAX_PAGE_ITEMS + 1
        for number in range(count):
            await client.put(
                f"op/evacuate/d{number:05}", "{}", version=messages.ABSENT
            )
        read_page, revision = client._read_page, data.revision

        async def read_and_change(*arguments):
            page = await read_page(*arguments)
            await client.put(
                f"other/{data.revision}", "", version=messages.ABSENT
            )
            return page

        client._read_page = read_and_change
        listing = await client.list("op/", limit=100_000)
        assert len(listing.entries) == count
        assert listing.version.revision == revision < data.revision
