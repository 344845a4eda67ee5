"""The platform's weight store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

from basilroad.http import HttpClient, HttpError, HttpRequest

OK = 200
TOO_MANY_REQUESTS = 429

DEFAULT_RETRY_S = 1.0
"""Pause when the store names none."""


class WeightStoreError(Exception):
    """The store did not answer as asked."""


@dataclass(frozen=True, slots=True)
class WeightsPulled:
    """The weights were read.

    :param size: bytes of the weights
    """

    size: int


@dataclass(frozen=True, slots=True)
class WeightsDeferred:
    """The store is at its rate limit.

    :param retry_after_s: seconds to wait before another try
    """

    retry_after_s: float


class WeightStore(Protocol):
    """Weights of models, at a limited rate."""

    async def pull(self, model: str, version: str) -> WeightsPulled | WeightsDeferred:
        """Read the weights of a model.

        :param model: name of the model
        :param version: its version
        :return: what became of it
        :raises WeightStoreError: the store did not answer as asked
        """


class HttpWeightStore:
    """Asks the platform's weight store.

    :param url: base URL of the platform
    :param timeout_s: seconds for each request
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = HttpClient(url, timeout_s)

    async def pull(self, model: str, version: str) -> WeightsPulled | WeightsDeferred:
        """Read the weights of a model.

        :param model: name of the model
        :param version: its version
        :return: what became of it
        :raises WeightStoreError: the store did not answer as asked
        """
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        try:
            answer = await self._client.send(HttpRequest("GET", path))
        except HttpError as error:
            raise WeightStoreError(str(error)) from error
        if answer.status == TOO_MANY_REQUESTS:
            return WeightsDeferred(float(answer.headers.get("Retry-After", DEFAULT_RETRY_S)))
        if answer.status != OK:
            raise WeightStoreError(f"answered {answer.status}")
        return WeightsPulled(len(answer.body))

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
