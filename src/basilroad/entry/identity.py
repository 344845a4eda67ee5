"""Who asks, how urgent it is, and what names the request."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from basilroad.errors import ErrorKind, refuse

if TYPE_CHECKING:
    from basilroad.settings.view import SettingsView

KEY_HEADER = "Idempotency-Key"
WORKSPACE_HEADER = "X-Workspace"
CALLER_HEADER = "X-Caller"
RANK_HEADER = "X-Rank"

NAME_MAX = 200
"""Characters of a name or key at the most."""

KEY_BYTES = 16
"""Length of a request key on the wire."""


@attrs.frozen
class Identity:
    """One request's sender and name.

    :param workspace: name of the workspace
    :param caller: name of the caller within it
    :param rank: order of the rank; 0 is the most urgent
    :param idempotency_key: as the caller gave it, or minted
    :param minted: whether the caller gave none
    """

    workspace: str
    caller: str
    rank: int
    idempotency_key: str
    key_generated: bool

    @property
    def key(self) -> bytes:
        """:return: the key of the request among those of all callers."""
        parts = (self.workspace, self.caller, self.idempotency_key)
        digest = hashlib.blake2b(digest_size=KEY_BYTES)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part.encode())
        return digest.digest()


def read_identity(headers: Mapping[str, str], view: SettingsView) -> Identity:
    """Read who asks from the headers of a request.

    :param headers: of the HTTP request
    :param view: settings in force
    :return: the identity
    :raises RefusedError: a name is not valid, or the token is not one of the workspace's
    """
    workspace = _read_name(headers, WORKSPACE_HEADER) or "default"
    _check_token(headers, workspace, view)
    caller = _read_name(headers, CALLER_HEADER) or "default"
    key = _read_name(headers, KEY_HEADER)
    return Identity(
        workspace=workspace,
        caller=caller,
        rank=_read_rank(headers, workspace, view),
        idempotency_key=key or uuid.uuid4().hex,
        key_generated=not key,
    )


def _read_name(headers: Mapping[str, str], header: str) -> str:
    value = headers.get(header, "")
    if len(value) > NAME_MAX or not value.isprintable():
        raise refuse(ErrorKind.BAD_REQUEST, f"{header} is too long or not printable")
    return value


def _read_rank(headers: Mapping[str, str], workspace: str, view: SettingsView) -> int:
    name = _read_name(headers, RANK_HEADER)
    rank = view.rank(name) if name else view.rank_of(workspace)
    if rank is None:
        raise refuse(ErrorKind.BAD_REQUEST, f"{RANK_HEADER} names no rank")
    return rank.order


def _check_token(headers: Mapping[str, str], workspace: str, view: SettingsView) -> None:
    tokens = view.workspace(workspace).tokens
    if not tokens:
        return
    given = headers.get("Authorization", "").removeprefix("Bearer ")
    if hashlib.sha256(given.encode()).hexdigest() not in tokens:
        raise refuse(ErrorKind.UNAUTHENTICATED, "the token is not one of this workspace")


__all__ = [
    "CALLER_HEADER",
    "KEY_BYTES",
    "KEY_HEADER",
    "RANK_HEADER",
    "WORKSPACE_HEADER",
    "Identity",
    "read_identity",
]
