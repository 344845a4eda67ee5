"""Exchange of the configuration document between gateways that share a reader of the store."""

from __future__ import annotations

import logging
import math
import time
import zlib
from typing import TYPE_CHECKING

import attrs
from aiohttp import web
from mode import Service

from basilroad.clocks import read_boot_clock
from basilroad.http.client import HttpClient, HttpError, HttpRequest, HttpResponse
from basilroad.http.idleconnections import close_idle_connections
from basilroad.http.listener import CallerListener

if TYPE_CHECKING:
    from collections.abc import Mapping

    from basilroad.gateway.exchange.relay import Confirmation
    from basilroad.peers.address import Address

PATH = "/config"

FETCH_TIMEOUT_S = 0.5
"""Longest silence in a fetch from a gateway of the same data centre; the store is read after it,
and a version has to be in force within a few seconds."""

FETCH_TRANSFER_LIMIT_S = 1.6
"""Longest fetch whose bytes keep arriving: other gateways may fetch over the same link at once."""

SHUTDOWN_TIMEOUT_S = 0.1
"""Time for running responses at a stop."""

STATUS_OK = 200

ENCODING = "deflate"
COMPRESSION_LEVEL = 1  # a document is compressed once a version, on a fraction of a core

MAX_DOCUMENT_BYTES = 2**20
"""Largest document that is fetched: the store sends at most 1 MB of rows in a response, and a
config is read as one row."""

MAX_BODY_BYTES = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES // 1024 + 64
"""Largest body of a fetch: a document that doesn't compress grows by less than this."""

HEADER_VERSION = "Confirmed-Version"
HEADER_AGE = "Confirmed-Age-Ms"
MAX_DIGITS = 15  # exact as a float

AGE_MARGIN_MS = 1
"""Added to an age, as two clocks drift apart by less than this while keys count as fresh."""

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class FetchedConfig:
    """The configuration of another gateway, and what the store last confirmed to it.

    :param document: the document as the store gave it
    :param confirmed_version: version that the store confirmed there; ``None`` if unknown
    :param confirmed_at: lower bound of when, by the boot clock of this gateway in seconds
    """

    document: bytes
    confirmed_version: int | None = None
    confirmed_at: float = -math.inf


class DocumentError(Exception):
    """The body of a fetch holds no whole document, or one that is too large."""


class ConfigExchange(Service):
    """Serves the last configuration document to other gateways, and fetches theirs.

    :param address: listening address; ``None`` to serve no other gateway
    """

    def __init__(self, address: Address | None) -> None:
        super().__init__()
        self.document: bytes | None = None
        self.confirmation: Confirmation | None = None
        self._address = address
        self._compressed: tuple[bytes, bytes] | None = None
        self._runner: web.ServerRunner | None = None
        self._listener: CallerListener | None = None

    async def on_start(self) -> None:
        """Listen for fetches."""
        if self._address is None:
            return
        server = web.Server(self._serve, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        self._listener = await CallerListener.open(self._runner, self._address)

    async def on_stop(self) -> None:
        """Close the listener, and answer the fetches that have arrived."""
        if self._listener is not None:
            await self._listener.close()
        if self._runner is None:
            return
        if self._runner.server is not None:
            limit = time.monotonic() + SHUTDOWN_TIMEOUT_S
            await close_idle_connections(self._runner.server, limit)
        await self._runner.cleanup()

    async def fetch(self, address: Address) -> FetchedConfig | None:
        """Fetch the document of another gateway.

        The age of its confirmation is read after the request was sent. Counted from before that, a
        delay on either way only makes the confirmation look older.

        :param address: its listening address
        :return: what it sent; ``None`` if there was no document in time
        """
        asked_at = read_boot_clock()
        client = HttpClient(f"http://{address}", FETCH_TIMEOUT_S, max_body_bytes=MAX_BODY_BYTES)
        try:
            request = HttpRequest("GET", PATH, (("Accept-Encoding", ENCODING),))
            response = await client.send(request, None, FETCH_TRANSFER_LIMIT_S)
            document = _read_document(response)
        except (HttpError, DocumentError) as error:
            _LOGGER.info("config not fetched", extra={"peer": str(address), "detail": str(error)})
            return None
        finally:
            await client.close()
        version = _read_count(response.headers, HEADER_VERSION)
        age_ms = _read_count(response.headers, HEADER_AGE)
        _LOGGER.info(
            "config fetched",
            extra={
                "peer": str(address),
                "version": version,
                "age_ms": age_ms,
                "bytes": len(response.body),
                "took_ms": round(1000 * (read_boot_clock() - asked_at)),
            },
        )
        if version is None or age_ms is None:
            return FetchedConfig(document)
        return FetchedConfig(document, version, asked_at - age_ms / 1000)

    def _compress(self, document: bytes) -> bytes:
        if self._compressed is None or self._compressed[0] is not document:
            self._compressed = (document, zlib.compress(document, COMPRESSION_LEVEL))
        return self._compressed[1]

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.path != PATH or self.document is None:
            return web.Response(status=404)
        response = web.Response(body=self.document)
        if ENCODING in request.headers.get("Accept-Encoding", ""):
            response = web.Response(body=self._compress(self.document))
            response.headers["Content-Encoding"] = ENCODING
        if self.confirmation is not None:
            age_s = max(0.0, read_boot_clock() - self.confirmation.at)
            response.headers[HEADER_VERSION] = str(self.confirmation.version)
            response.headers[HEADER_AGE] = str(math.ceil(1000 * age_s) + AGE_MARGIN_MS)
        return response


def _read_document(response: HttpResponse) -> bytes:
    if response.status != STATUS_OK:
        raise DocumentError(f"status {response.status}")
    encoding = response.headers.get("Content-Encoding", "")
    # a gateway of an earlier release sends the document as it is
    document = _decompress(response.body) if encoding == ENCODING else response.body
    if encoding not in ("", ENCODING):
        raise DocumentError(f"encoding {encoding!r}")
    if len(document) > MAX_DOCUMENT_BYTES:
        raise DocumentError(f"document exceeds {MAX_DOCUMENT_BYTES} bytes")
    return document


def _decompress(body: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        # the byte beyond the limit shows that there are more
        document = stream.decompress(body, MAX_DOCUMENT_BYTES + 1)
    except zlib.error as error:
        raise DocumentError(str(error)) from error
    if len(document) <= MAX_DOCUMENT_BYTES and not stream.eof:
        raise DocumentError("compressed document is cut")
    if stream.unused_data:
        raise DocumentError(f"{len(stream.unused_data)} bytes after the compressed document")
    return document


def _read_count(headers: Mapping[str, str], name: str) -> int | None:
    text = headers.get(name, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS else None


__all__ = [
    "MAX_BODY_BYTES",
    "MAX_DOCUMENT_BYTES",
    "ConfigExchange",
    "DocumentError",
    "FetchedConfig",
]
