"""Claims in the platform's store of idempotency keys that callers chose."""

from collections import abc
import hashlib

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict
from burdockdeal.platform import messages as platform_messages
from burdockdeal.platform import store

PREFIX = "bookings/"

#: Holds the latest era of the store in which keys may be claimed.
OPEN_ERA_KEY = "bookings-open"

#: Minimum seconds between two reads of it.
_OPEN_ERA_INTERVAL_S = 30.0

#: Time to live of a lease, in multiples of the retention time. A lease takes
#: new claims during its first retention time, so that a claim lives for one
#: to two retention times.
LEASE_RETENTION_FACTOR = 2

_BURST = 10.0

#: Seconds without attempts after the store failed to respond.
_BACKOFF_S = 1.0


def build_store_key(service: str, key: str) -> str:
    """Build the store key of the claim of a caller's idempotency key."""
    text = f"{service}\n{key}".encode()
    return PREFIX + hashlib.sha256(text).hexdigest()


class ClaimStore:
    """Reads and writes claims, limited by a token bucket.

    Claims that are written within one retention time share a lease, which is
    not renewed. After the store was restored from an old copy, nothing is
    claimed for one retention time.

    :param platform: client of the platform's store.
    :param own: this daemon.
    :param clock: returns monotonic time in seconds.
    :param retention_s: seconds for which a key must stay claimed.
    :param per_second: sustained rate of claims that are read or written.
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
        self._refilled_at = clock()
        self._backoff_until = 0.0
        self._lease = platform_messages.Lease(0, 0.0)
        self._lease_usable_until = 0.0
        self._window = state.ClaimWindow()
        self._open_era_read_at = -_OPEN_ERA_INTERVAL_S
        self._open_era_written = 0
        platform.on_new_era(lambda era: self._update_window())

    async def claim_key(
        self, service: str, key: str, claim_id: str
    ) -> state.ClaimAction:
        """Claim a key for this daemon.

        :param service: the service that the call is for.
        :param key: the idempotency key.
        :param claim_id: the same for each attempt, unless this daemon's
            record of the key expired in between.
        :returns: RUN or REPORT_UNKNOWN.
        :raises KeyHeldError: if another daemon holds the key.
        :raises NotRunError: if the claim in the store is not known.
        """
        self._acquire_token()
        claim = messages.Claim(self._own, claim_id)
        await self._open_claims()
        try:
            current = await self._write(build_store_key(service, key), claim)
        except errors.PlatformError as error:
            raise self._back_off(error) from error
        # The response may have shown a new era, whose claims are incomplete.
        self._check_window()
        action = decisions.decide_claim_action(
            current,
            own=self._own,
            claim_id=claim_id,
        )
        if action is state.ClaimAction.REDIRECT:
            assert current is not None
            holder = current.holder
            raise errors.KeyHeldError(holder.daemon, holder.incarnation)
        if action is state.ClaimAction.REJECT:
            raise errors.NotRunError(verdict.Reason.CLAIM_UNAVAILABLE)
        return action

    async def read_claim(
        self, service: str, key: str
    ) -> messages.Claim | None:
        """Read the claim of a key.

        :param service: the service that the call is for.
        :param key: the idempotency key.
        :returns: the claim, None if the key is not claimed.
        :raises NotRunError: if the store could not be read, or may have lost
            the claim.
        """
        self._acquire_token()
        await self._read_open_era()
        try:
            current = await self._read(build_store_key(service, key))
        except errors.PlatformError as error:
            raise self._back_off(error) from error
        if current is None:
            self._check_window()
        return current

    async def reassert(self, store_key: str, claim_id: str) -> None:
        """Write a claim of this daemon again that the store may have lost.

        :raises PlatformError: if it is not known whether it is in the store.
        :raises NotRunError: if the rate of claims does not allow it yet.
        """
        self._acquire_token()
        claim = messages.Claim(self._own, claim_id)
        current = await self._write(store_key, claim)
        if current is not None and current != claim:
            event_log.warn(
                "claim_replaced",
                key=store_key,
                holder=current.holder.daemon,
            )

    def _update_window(self) -> None:
        window = decisions.enter_era(
            self._window,
            era=self._store.era,
            now=self._clock(),
            retention_s=self._retention_s,
        )
        if window != self._window:
            self._window = window
            event_log.record(
                "claims_closed", era=window.era, for_s=self._retention_s
            )

    def _may_claim(self) -> bool:
        self._update_window()
        return decisions.may_claim(
            self._window, era=self._store.era, now=self._clock()
        )

    def _check_window(self) -> None:
        if not self._may_claim():
            detail = "the store was restored and may have lost the claim"
            raise errors.NotRunError(verdict.Reason.CLAIM_UNAVAILABLE, detail)

    async def _open_claims(self) -> None:
        """Raise NotRunError unless keys may be claimed, and say so in time."""
        await self._read_open_era()
        self._check_window()
        if self._open_era_written != self._window.era:
            self._open_era_written = self._window.era
            await self._write_open_era()

    async def _read_open_era(self) -> None:
        """Find out whether another daemon has waited in this era."""
        now = self._clock()
        if (
            self._may_claim()
            or now - self._open_era_read_at < _OPEN_ERA_INTERVAL_S
        ):
            return
        self._open_era_read_at = now
        try:
            entry = await self._store.get(OPEN_ERA_KEY)
        except errors.PlatformError as error:
            raise self._back_off(error) from error
        if entry is not None:
            self._update_window()
            self._window = decisions.accept_open_era(
                self._window, _decode_open_era(entry), self._clock()
            )

    async def _write_open_era(self) -> None:
        try:
            entry = await self._store.get(OPEN_ERA_KEY)
            era = self._store.era
            if entry is not None and _decode_open_era(entry) == era:
                return
            if not self._may_claim():
                return
            await self._store.put(
                OPEN_ERA_KEY,
                codec.encode(messages.OpenEra(era)).decode(),
                version=entry.version if entry else self._store.absent_version,
            )
        except errors.PlatformError as error:
            event_log.debug("open_era_not_written", error=error)
            self._open_era_written = 0

    def _back_off(self, error: errors.PlatformError) -> errors.NotRunError:
        event_log.warn("claim_unavailable", error=error)
        # A call that waits for the store occupies one of the upstream's
        # slots, so calls fail fast until the backoff ends.
        self._backoff_until = self._clock() + _BACKOFF_S
        reason = verdict.Reason.CLAIM_UNAVAILABLE
        return errors.NotRunError(reason, str(error))

    def _acquire_token(self) -> None:
        now = self._clock()
        if now < self._backoff_until:
            reason = verdict.Reason.CLAIM_UNAVAILABLE
            raise errors.NotRunError(reason, "the store is away")
        refill = (now - self._refilled_at) * self._per_second
        self._tokens = min(_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            detail = "this daemon's budget of claims is used up"
            raise errors.NotRunError(verdict.Reason.CLAIM_UNAVAILABLE, detail)
        self._tokens -= 1

    async def _write(
        self, store_key: str, claim: messages.Claim
    ) -> messages.Claim | None:
        """Write a claim unless the key is claimed already.

        :returns: the claim in the store, None if it is not known.
        """
        try:
            lease = await self._obtain_lease()
            await self._store.put(
                store_key,
                codec.encode(claim).decode(),
                version=platform_messages.Version(self._lease.era, 0),
                lease=lease,
            )
        except errors.StoreLeaseError:
            # The lease lapsed early, for example after this process was
            # suspended; the next claim obtains a new one.
            self._lease_usable_until = 0.0
            return None
        except errors.StoreConflictError as error:
            event_log.debug(
                "claim_conflict", key=store_key, version=error.version
            )
        except errors.StoreUncertainError as error:
            event_log.warn("claim_uncertain", error=error)
        else:
            return claim
        return await self._read(store_key)

    async def _read(self, store_key: str) -> messages.Claim | None:
        entry = await self._store.get(store_key)
        return codec.decode(entry.value, messages.Claim) if entry else None

    async def _obtain_lease(self) -> int:
        now = self._clock()
        # After a restore the id may be that of another daemon's lease.
        is_lost = self._lease.era != self._store.era
        if is_lost or now >= self._lease_usable_until:
            ttl_s = self._retention_s * LEASE_RETENTION_FACTOR
            self._lease = await self._store.grant(ttl_s)
            self._lease_usable_until = now + self._retention_s
        return self._lease.lease_id


def _decode_open_era(entry: platform_messages.Entry) -> int | None:
    try:
        return codec.decode(entry.value, messages.OpenEra).era
    except codec.MalformedError as error:
        event_log.warn("open_era_unreadable", error=error)
        return None
