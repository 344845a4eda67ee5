"""The platform's object store."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote

from basilroad.http import HttpClient, HttpError, HttpRequest, HttpResponse

OK = 200
NOT_FOUND = 404


class ObjectStoreError(Exception):
    """The store did not answer; a write may have taken effect."""


class ObjectStore(Protocol):
    """Bytes by key; the last write holds."""

    async def get(self, key: str) -> bytes | None:
        """:return: the object, or ``None``.

        :raises ObjectStoreError: the store did not answer
        """

    async def put(self, key: str, data: bytes) -> None:
        """Write an object.

        :param key: path of the object
        :param data: its content
        :raises ObjectStoreError: it is not known whether it was written
        """

    async def delete(self, key: str) -> None:
        """Delete an object, if it is there.

        :param key: path of the object
        :raises ObjectStoreError: it is not known whether it was deleted
        """


class HttpObjectStore:
    """Asks the platform's object store.

    :param url: base URL of the platform
    :param timeout_s: seconds for each request
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def get(self, key: str) -> bytes | None:
        """:return: the object, or ``None``.

        :raises ObjectStoreError: the store did not answer
        """
        answer = await self._send("GET", key)
        if answer.status == NOT_FOUND:
            return None
        _check(answer)
        return answer.body

    async def put(self, key: str, data: bytes) -> None:
        """Write an object.

        :param key: path of the object
        :param data: its content
        :raises ObjectStoreError: it is not known whether it was written
        """
        _check(await self._send("PUT", key, data))

    async def delete(self, key: str) -> None:
        """Delete an object, if it is there.

        :param key: path of the object
        :raises ObjectStoreError: it is not known whether it was deleted
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


def _check(answer: HttpResponse) -> None:
    if answer.status != OK:
        raise ObjectStoreError(f"answered {answer.status}")


__all__ = ["HttpObjectStore", "ObjectStore", "ObjectStoreError"]
