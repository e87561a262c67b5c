"""Encoding of issued idempotency keys, with a MAC that the fleet verifies.

A key is `bk1.SERVICE.DAEMON.INCARNATION.ISSUED_MS.NONCE.MAC`. The secret of
the MAC is derived from the peer token, which all daemons share.
"""

import hashlib
import hmac

from burdockdeal.bookings import messages
from burdockdeal.core import errors
from burdockdeal.core import verdict

_PREFIX = "bk1"
_KEY_DERIVATION_LABEL = b"burdockdeal issued keys"
_MAC_CHARS = 32


def _compute_mac(peer_token: str, text: str) -> str:
    secret = hmac.digest(
        peer_token.encode(), _KEY_DERIVATION_LABEL, hashlib.sha256
    )
    mac = hmac.new(secret, text.encode(), hashlib.sha256)
    return mac.hexdigest()[:_MAC_CHARS]


def encode_key(peer_token: str, key: messages.IssuedKey) -> str:
    """Encode a key as the value of the Idempotency-Key header.

    :param peer_token: the token that all daemons share.
    """
    text = ".".join(
        (
            _PREFIX,
            key.service,
            key.holder.daemon,
            str(key.holder.incarnation),
            str(round(key.issued_at * 1000)),
            key.nonce,
        )
    )
    return f"{text}.{_compute_mac(peer_token, text)}"


def decode_key(peer_token: str, raw: str) -> messages.IssuedKey | None:
    """Decode and verify the value of an Idempotency-Key header.

    :param peer_token: the token that all daemons share.
    :returns: the issued key, None if the caller chose the key itself.
    :raises NotRunError: if it looks like an issued key but its MAC is wrong.
    """
    if not raw.startswith(f"{_PREFIX}."):
        return None
    text, _, mac = raw.rpartition(".")
    expected = _compute_mac(peer_token, text).encode()
    if not hmac.compare_digest(mac.encode(), expected):
        detail = "the key was not issued by this fleet"
        raise errors.NotRunError(verdict.Reason.KEY_UNKNOWN, detail)
    _, service, daemon, incarnation, issued_ms, nonce = text.split(".")
    return messages.IssuedKey(
        service=service,
        holder=messages.Holder(daemon, int(incarnation)),
        issued_at=int(issued_ms) / 1000,
        nonce=nonce,
    )
