"""HTTP: the client, listening sockets, and the end of idle connections."""

from __future__ import annotations
