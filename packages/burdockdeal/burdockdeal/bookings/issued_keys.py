"""Keys that daemons issue ahead, authenticated for the whole fleet."""

import hashlib
import hmac

from burdockdeal.bookings import messages
from burdockdeal.core import errors
from burdockdeal.core import verdict

_PREFIX = "bk1"
_PURPOSE = b"burdockdeal issued keys"
_MAC_CHARS = 32


def _sign(peer_token: str, text: str) -> str:
    secret = hmac.digest(peer_token.encode(), _PURPOSE, hashlib.sha256)
    mac = hmac.new(secret, text.encode(), hashlib.sha256)
    return mac.hexdigest()[:_MAC_CHARS]


def encode_key(peer_token: str, key: messages.IssuedKey) -> str:
    """Write a key as the value of the Idempotency-Key header."""
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
    return f"{text}.{_sign(peer_token, text)}"


def decode_key(peer_token: str, raw: str) -> messages.IssuedKey | None:
    """Read a key.

    :returns: the key, None if it is a caller's own.
    :raises NotRunError: if it pretends to be an issued one.
    """
    if not raw.startswith(f"{_PREFIX}."):
        return None
    text, _, mac = raw.rpartition(".")
    expected = _sign(peer_token, text).encode()
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
