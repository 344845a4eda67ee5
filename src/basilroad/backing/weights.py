"""Client of the platform's weight store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

from basilroad.http.client import HttpClient, HttpError, HttpRequest

OK = 200
TOO_MANY_REQUESTS = 429

DEFAULT_RETRY_S = 1.0
"""Retry delay if the response has no ``Retry-After`` header."""


class WeightStoreError(Exception):
    """A request to the store failed."""


@dataclass(frozen=True, slots=True)
class WeightsPulled:
    """The weights were read.

    :param size: size of the weights in bytes
    """

    size: int


@dataclass(frozen=True, slots=True)
class WeightsDeferred:
    """The store is at its rate limit.

    :param retry_after_s: seconds to wait before a retry
    """

    retry_after_s: float


class WeightStore(Protocol):
    """Store of model weights with a rate limit."""

    async def pull(self, model: str, version: str) -> WeightsPulled | WeightsDeferred:
        """Read the weights of a model.

        :param model: name of the model
        :param version: its version
        :return: the weights' size, or the delay before a retry
        :raises WeightStoreError: the request failed
        """


class HttpWeightStore:
    """Client of the weight store over HTTP.

    :param url: base URL of the platform
    :param timeout_s: timeout of each request in seconds
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def pull(self, model: str, version: str) -> WeightsPulled | WeightsDeferred:
        """Read the weights of a model.

        :param model: name of the model
        :param version: its version
        :return: the weights' size, or the delay before a retry
        :raises WeightStoreError: the request failed
        """
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        try:
            response = await self._client.send(HttpRequest("GET", path))
        except HttpError as error:
            raise WeightStoreError(str(error)) from error
        if response.status == TOO_MANY_REQUESTS:
            return WeightsDeferred(float(response.headers.get("Retry-After", DEFAULT_RETRY_S)))
        if response.status != OK:
            raise WeightStoreError(f"answered {response.status}")
        return WeightsPulled(len(response.body))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


__all__ = [
    "HttpWeightStore",
    "WeightStore",
    "WeightStoreError",
    "WeightsDeferred",
    "WeightsPulled",
]
