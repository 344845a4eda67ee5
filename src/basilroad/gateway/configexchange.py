"""Exchange of the configuration document between gateways that share a reader of the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp import web
from mode import Service

from basilroad.http import HttpClient, HttpError, HttpRequest

if TYPE_CHECKING:
    from basilroad.peers.address import Address

PATH = "/config"

FETCH_TIMEOUT_S = 0.5
"""Time limit of a fetch from a gateway of the same data centre; the store is read after it, and a
version has to be in force within a few seconds."""

SHUTDOWN_TIMEOUT_S = 0.1
"""Time for running responses at a stop."""

STATUS_OK = 200

_LOGGER = logging.getLogger(__name__)


class ConfigExchange(Service):
    """Serves the last configuration document to other gateways, and fetches theirs.

    :param address: listening address; ``None`` to serve nobody
    """

    def __init__(self, address: Address | None) -> None:
        super().__init__()
        self.document: bytes | None = None
        self._address = address
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Listen for fetches."""
        if self._address is None:
            return
        server = web.Server(self._serve, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        address = self._address
        await web.TCPSite(self._runner, address.ip, address.port, reuse_address=True).start()

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def fetch(self, address: Address) -> bytes | None:
        """Fetch the document of another gateway.

        :param address: its listening address
        :return: the document as the store gave it; ``None`` if there was none in time
        """
        client = HttpClient(f"http://{address}", FETCH_TIMEOUT_S)
        try:
            response = await client.send(HttpRequest("GET", PATH))
        except HttpError as error:
            _LOGGER.info("config not fetched", extra={"peer": str(address), "detail": str(error)})
            return None
        finally:
            await client.close()
        if response.status != STATUS_OK:
            detail = f"status {response.status}"
            _LOGGER.info("config not fetched", extra={"peer": str(address), "detail": detail})
            return None
        return response.body

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.path != PATH or self.document is None:
            return web.Response(status=404)
        return web.Response(body=self.document)


__all__ = ["ConfigExchange"]
