"""The client of the platform's store.

The store speaks HTTP: keys below /v1/kv, listings and watches at
/v1/list and /v1/watch, leases at /v1/leases.
"""

import asyncio
import dataclasses
import typing
from urllib import parse

import aiohttp
import yarl

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.platform import messages
from burdockdeal.settings import model

#: A value may hold a megabyte.
VALUE_LIMIT_BYTES = 1_000_000

_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


class Store:
    """A connection to the store, which counts its calls.

    :param address: where the store listens.
    """

    def __init__(self, address: model.Address) -> None:
        self._base = f"http://{address.host}:{address.port}"
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def __aenter__(self) -> "Store":
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._session is not None
        await self._session.close()

    async def _send(
        self,
        method: str,
        path: str,
        *,
        body: str | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> _Answer:
        assert self._session is not None
        self.calls += 1
        try:
            async with self._session.request(
                method,
                yarl.URL(self._base + path, encoded=True),
                data=None if body is None else body.encode(),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                answer = _Answer(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            detail = f"{method} {path}: {error!r}"
            raise errors.StoreUncertainError(detail) from error
        if answer.status == 503:
            raise errors.StoreUnavailableError(f"{method} {path}: 503")
        if answer.status not in (200, 404, 409):
            detail = f"{method} {path}: {answer.status}"
            raise errors.StoreUncertainError(detail)
        return answer

    async def get(self, key: str) -> messages.Entry | None:
        """Read a key.

        :returns: the entry, None if there is none.
        :raises PlatformError: if the store did not answer.
        """
        answer = await self._send("GET", f"/v1/kv/{parse.quote(key)}")
        if answer.status == 404:
            return None
        return codec.decode(answer.body, messages.Entry)

    async def put(
        self, key: str, value: str, *, version: int, lease: str = ""
    ) -> int:
        """Write a key by compare-and-swap.

        :param version: the version that must stand there, 0 for none.
        :param lease: the lease with which the key goes.
        :returns: the new version.
        :raises StoreConflictError: if another version stands there.
        :raises StoreUncertainError: if it may have taken effect.
        """
        query = parse.urlencode({"version": version, "lease": lease})
        answer = await self._send(
            "PUT", f"/v1/kv/{parse.quote(key)}?{query}", body=value
        )
        written = codec.decode(answer.body, messages.Written)
        if answer.status == 409:
            raise errors.StoreConflictError(key, written.version)
        return written.version

    async def delete(self, key: str, *, version: int) -> None:
        """Delete a key by compare-and-swap.

        :raises StoreConflictError: if another version stands there.
        """
        answer = await self._send(
            "DELETE", f"/v1/kv/{parse.quote(key)}?version={version}"
        )
        if answer.status == 409:
            written = codec.decode(answer.body, messages.Written)
            raise errors.StoreConflictError(key, written.version)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 1000
    ) -> messages.Listing:
        """Read the entries below a prefix, in the order of their keys.

        :param start: the first key to return.
        """
        query = parse.urlencode(
            {"prefix": prefix, "start": start, "limit": limit}
        )
        answer = await self._send("GET", f"/v1/list?{query}")
        return codec.decode(answer.body, messages.Listing)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> messages.Listing:
        """Wait for entries below a prefix that are newer than a revision.

        :param after: the store's revision that is known.
        :param wait_s: how long to wait, in seconds.
        :returns: the newer entries, none if the wait ended first.
        """
        query = parse.urlencode(
            {"prefix": prefix, "after": after, "wait_s": wait_s}
        )
        answer = await self._send(
            "GET", f"/v1/watch?{query}", timeout_s=wait_s + _WATCH_MARGIN_S
        )
        return codec.decode(answer.body, messages.Listing)

    async def grant(self, ttl_s: float) -> messages.Lease:
        """Ask for a lease."""
        answer = await self._send("POST", f"/v1/leases?ttl_s={ttl_s}")
        return codec.decode(answer.body, messages.Lease)

    async def renew(self, lease: str) -> bool:
        """Renew a lease.

        :returns: False if it had lapsed.
        """
        answer = await self._send("POST", f"/v1/leases/{lease}")
        return answer.status == 200
