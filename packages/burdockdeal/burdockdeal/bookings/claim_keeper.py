"""Writing live claims again after the store was restored from an old copy."""

import asyncio
from collections import abc
import random

import mode

from burdockdeal.bookings import claim_store
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.platform import decisions
from burdockdeal.platform import store

#: Seconds between two attempts, when the store or the rate of claims does not
#: allow another write.
_RETRY_INTERVAL_S = 1.0

#: Lists the store keys and ids of the claims that this daemon must keep.
ListClaims = abc.Callable[[], tuple[tuple[str, str], ...]]


class ClaimKeeper(mode.Service):
    """Writes this daemon's live claims again when the store was restored.

    :param platform: client of the platform's store.
    :param claims: writes the claims.
    :param list_claims: lists the live claims.
    :param rng: spreads the daemons' writes.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        claims: claim_store.ClaimStore,
        list_claims: ListClaims,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._claims = claims
        self._list_claims = list_claims
        self._rng = rng
        self._is_restored = asyncio.Event()
        platform.on_new_era(lambda era: self._is_restored.set())

    @mode.Service.task
    async def _reassert_forever(self) -> None:
        while not self.should_stop:
            await self._is_restored.wait()
            self._is_restored.clear()
            await self.sleep(self._rng.uniform(0, decisions.REWRITE_SPREAD_S))
            await self.reassert_all()

    async def reassert_all(self) -> None:
        """Write all live claims again, each until the store has answered."""
        remaining = list(self._list_claims())
        total = len(remaining)
        while remaining and not self.should_stop:
            try:
                await self._claims.reassert(*remaining[-1])
            except (errors.PlatformError, errors.NotRunError) as error:
                event_log.debug("claim_not_rewritten", error=error)
                await self.sleep(_RETRY_INTERVAL_S)
                live = frozenset(self._list_claims())
                remaining = [claim for claim in remaining if claim in live]
                continue
            remaining.pop()
        if total:
            event_log.record("records_rewritten", kind="claims", claims=total)
