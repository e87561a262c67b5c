"""Following the change log of a store that comes back from an old copy."""

import random

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import log
from burdockdeal.configuration import log_follower
from burdockdeal.configuration import messages
from burdockdeal.configuration import repository
from burdockdeal.configuration import specification
from burdockdeal.core import codec
from burdockdeal_standins import memory_store


class _NoSpread(random.Random):
    """Draws the lower bound of each range."""

    def uniform(self, a: float, b: float) -> float:
        return a


async def test_a_relay_that_first_reads_after_a_restore_fills_the_log() -> (
    None
):
    """Guards against a gap if the read itself shows the new era.

    A relay that was not watching then went on without a comparison.
    """
    store = memory_store.MemoryStore()
    active = active_configuration.ActiveConfiguration()
    changes = repository.Repository(store, active, lambda: "x")
    change = specification.make_change(1, "lost")
    active.apply([change])

    def restore_once(method: str, key: str) -> memory_store.CallOutcome:
        if method == "list" and not store.era:
            store.restore({})
        return memory_store.CallOutcome.GOOD

    store.decide = restore_once
    relay = log_follower.LogFollower(
        changes,
        active,
        _NoSpread(1),
        is_relay=lambda: True,
        forward=lambda changes: None,
    )
    seen = await relay._follow(None)
    assert seen is not None and seen.era == 1
    await relay._follow(seen)
    entry = store.entries[log.log_key(1)]
    assert codec.decode(entry.value, messages.Change) == change
