"""Client of the platform's object store."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote

from basilroad.http.client import HttpClient, HttpError, HttpRequest, HttpResponse

OK = 200
NOT_FOUND = 404


class ObjectStoreError(Exception):
    """A request to the store failed; a write may have taken effect."""


class ObjectStore(Protocol):
    """Objects by key; the last write wins."""

    async def get(self, key: str) -> bytes | None:
        """:return: the object, or ``None``.

        :raises ObjectStoreError: the request failed
        """

    async def put(self, key: str, data: bytes) -> None:
        """Write an object.

        :param key: key of the object
        :param data: its content
        :raises ObjectStoreError: the request failed; the object may have been written
        """

    async def delete(self, key: str) -> None:
        """Delete an object, if it exists.

        :param key: key of the object
        :raises ObjectStoreError: the request failed; the object may have been deleted
        """


class HttpObjectStore:
    """Client of the object store over HTTP.

    :param url: base URL of the platform
    :param timeout_s: timeout of each request in seconds
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def get(self, key: str) -> bytes | None:
        """:return: the object, or ``None``.

        :raises ObjectStoreError: the request failed
        """
        response = await self._send("GET", key)
        if response.status == NOT_FOUND:
            return None
        _check(response)
        return response.body

    async def put(self, key: str, data: bytes) -> None:
        """Write an object.

        :param key: key of the object
        :param data: its content
        :raises ObjectStoreError: the request failed; the object may have been written
        """
        _check(await self._send("PUT", key, data))

    async def delete(self, key: str) -> None:
        """Delete an object, if it exists.

        :param key: key of the object
        :raises ObjectStoreError: the request failed; the object may have been deleted
        """
        _check(await self._send("DELETE", key))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def _send(self, method: str, key: str, data: bytes | None = None) -> HttpResponse:
        try:
            return await self._client.send(HttpRequest(method, f"/objects/{quote(key)}", body=data))
        except HttpError as error:
            raise ObjectStoreError(str(error)) from error


def _check(response: HttpResponse) -> None:
    if response.status != OK:
        raise ObjectStoreError(f"answered {response.status}")


__all__ = ["HttpObjectStore", "ObjectStore", "ObjectStoreError"]
