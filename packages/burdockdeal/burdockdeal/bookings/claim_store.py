"""Claims of callers' own keys in the platform's store."""

from collections import abc
import hashlib

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.platform import store

PREFIX = "bookings/"

#: A claim outlives the time for which its key is remembered at most so
#: many times.
LEASE_RETENTION_FACTOR = 2

_BURST = 10.0

#: Seconds for which nothing is claimed after the store did not answer.
_AWAY_S = 1.0


def build_store_key(service: str, key: str) -> str:
    """Name the store's key for a caller's key."""
    text = f"{service}\n{key}".encode()
    return PREFIX + hashlib.sha256(text).hexdigest()


class ClaimStore:
    """Writes claims, so many a second.

    All claims of one retention time share a lease, which is not renewed.

    :param own: this daemon.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        platform: store.StoreClient,
        own: messages.Holder,
        clock: abc.Callable[[], float],
        *,
        retention_s: float,
        per_second: float,
    ) -> None:
        self._store = platform
        self._own = own
        self._clock = clock
        self._retention_s = retention_s
        self._per_second = per_second
        self._tokens = _BURST
        self._counted_at = clock()
        self._away_until = 0.0
        self._lease = 0
        self._lease_until = 0.0

    async def claim_key(
        self, service: str, key: str, claim_id: str
    ) -> state.ClaimAction:
        """Claim a key for this daemon.

        :param claim_id: the same for each try, unless the key was
            forgotten between them.
        :returns: RUN or TELL_UNSURE.
        :raises KeyHeldError: if another daemon holds it.
        :raises NotRunError: if the store could not be asked.
        """
        self._take_token()
        claim = messages.Claim(self._own, claim_id)
        try:
            standing = await self._write(build_store_key(service, key), claim)
        except errors.PlatformError as error:
            raise self._give_up(error) from error
        step = decisions.decide_claim(
            standing,
            own=self._own,
            claim_id=claim_id,
        )
        if step is state.ClaimAction.SEND_TO_HOLDER:
            assert standing is not None
            holder = standing.holder
            raise errors.KeyHeldError(holder.daemon, holder.incarnation)
        if step is state.ClaimAction.REFUSE:
            raise errors.NotRunError(verdict.Reason.CLAIM_UNAVAILABLE)
        return step

    async def read_claim(
        self, service: str, key: str
    ) -> messages.Claim | None:
        """Read the claim that stands for a key.

        :raises NotRunError: if the store could not be asked.
        """
        self._take_token()
        try:
            return await self._read(build_store_key(service, key))
        except errors.PlatformError as error:
            raise self._give_up(error) from error

    def _give_up(self, error: errors.PlatformError) -> errors.NotRunError:
        event_log.warn("claim_unavailable", error=error)
        # Calls that wait for the store hold slots of the upstream.
        self._away_until = self._clock() + _AWAY_S
        reason = verdict.Reason.CLAIM_UNAVAILABLE
        return errors.NotRunError(reason, str(error))

    def _take_token(self) -> None:
        now = self._clock()
        if now < self._away_until:
            reason = verdict.Reason.CLAIM_UNAVAILABLE
            raise errors.NotRunError(reason, "the store is away")
        gained = (now - self._counted_at) * self._per_second
        self._tokens = min(_BURST, self._tokens + gained)
        self._counted_at = now
        if self._tokens < 1:
            detail = "this daemon's budget of claims is used up"
            raise errors.NotRunError(verdict.Reason.CLAIM_UNAVAILABLE, detail)
        self._tokens -= 1

    async def _write(
        self, name: str, claim: messages.Claim
    ) -> messages.Claim | None:
        """Write a claim unless one stands.

        :returns: the claim that stands, None if that can't be told.
        """
        try:
            await self._store.put(
                name,
                codec.encode(claim).decode(),
                version=0,
                lease=await self._hold_lease(),
            )
        except errors.StoreLeaseError:
            # It lapsed, as after a long pause.
            self._lease_until = 0.0
            return None
        except errors.StoreConflictError as error:
            event_log.debug("claim_stands", key=name, version=error.version)
        except errors.StoreUncertainError as error:
            event_log.warn("claim_uncertain", error=error)
        else:
            return claim
        return await self._read(name)

    async def _read(self, name: str) -> messages.Claim | None:
        entry = await self._store.get(name)
        return codec.decode(entry.value, messages.Claim) if entry else None

    async def _hold_lease(self) -> int:
        now = self._clock()
        if now >= self._lease_until:
            ttl_s = self._retention_s * LEASE_RETENTION_FACTOR
            granted = await self._store.grant(ttl_s)
            self._lease = granted.lease_id
            self._lease_until = now + self._retention_s
        return self._lease
