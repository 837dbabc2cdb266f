"""Client of the platform: table service, object store, instance list."""

import dataclasses
import urllib.parse

import aiohttp
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import yarl

from cranberryglade import wire

SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class PlatformError(Exception):
    """The platform did not answer; a write may have taken effect."""


@dataclasses.dataclass(slots=True, frozen=True)
class TaggedList:
    """What a conditional read of the list gave.

    Attributes:
        tag: names the state of the list, for the next read.
        instances: the list; None if it is unchanged.
    """

    tag: str
    instances: list[wire.InstanceDocument] | None


class PlatformClient:
    """Talks to the platform's services over HTTP."""

    __slots__ = ("_base", "_session")

    def __init__(self, address: str, timeout_seconds: float):
        self._base = f"http://{address}/v1"
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            skip_auto_headers=SKIPPED_HEADERS,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def instances(
        self, tag: str, **wanted: str
    ) -> Result[TaggedList, PlatformError]:
        """Reads the lagging list of live and leaving instances.

        Args:
            tag: what the last read gave; "" for the first.
            **wanted: values that fields of the instances must have.
        """
        url = self._url("instances").with_query(wanted)
        headers = {"Accept-Encoding": "gzip"}
        if tag:
            headers["If-None-Match"] = tag
        try:
            async with self._session.get(url, headers=headers) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(PlatformError(type(error).__name__))
        if response.status == 304:
            return Success(TaggedList(tag=tag, instances=None))
        if response.status != 200:
            return Failure(PlatformError(f"status {response.status}"))
        read = wire.decode(data, wire.InstanceList).alt(PlatformError)
        return read.map(
            lambda listed: TaggedList(
                tag=response.headers.get("ETag", ""),
                instances=listed.instances,
            )
        )

    async def row(
        self, table: str, key: str
    ) -> Result[wire.RowDocument, PlatformError]:
        """Reads a row; version 0 means that there is none."""
        return await self._read(
            f"tables/{_quote(table)}/{_quote(key)}", wire.RowDocument
        )

    async def transact(
        self, writes: list[wire.WriteDocument]
    ) -> Result[wire.TransactionOutcome, PlatformError]:
        """Makes conditional writes, all or none."""
        return await self._call(
            "POST",
            "transactions",
            wire.encode(wire.TransactionDocument(writes=writes)),
            wire.TransactionOutcome,
        )

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[bytes, PlatformError]:
        """Stores an object."""
        return await self._fetch("PUT", f"objects/{name}", data)

    async def get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Reads an object; empty if it is absent."""
        return await self._fetch("GET", f"objects/{name}", b"")

    def _url(self, path: str) -> yarl.URL:
        return yarl.URL(f"{self._base}/{path}", encoded=True)

    async def _read(self, path, kind):
        return await self._call("GET", path, b"", kind)

    async def _call(self, method, path, body, kind):
        fetched = await self._fetch(method, path, body)
        return fetched.bind(
            lambda data: wire.decode(data, kind).alt(PlatformError)
        )

    async def _fetch(
        self, method: str, path: str, body: bytes
    ) -> Result[bytes, PlatformError]:
        try:
            async with self._session.request(
                method,
                self._url(path),
                data=body,
            ) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(PlatformError(type(error).__name__))
        if response.status == 404 and method == "GET":
            return Success(b"")
        if response.status != 200:
            return Failure(PlatformError(f"status {response.status}"))
        return Success(data)


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")
