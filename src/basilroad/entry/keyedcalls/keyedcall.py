"""Non-idempotent call with an idempotency key."""

from __future__ import annotations

import hashlib

import attrs

from basilroad.entry.calls.servicecall import ServiceCall
from basilroad.entry.identity import Identity


@attrs.frozen
class KeyedCall:
    """A call that must run at most once, with its sender.

    :param call: the call
    :param identity: sender and idempotency key
    """

    call: ServiceCall
    identity: Identity

    @property
    def fingerprint(self) -> str:
        """:return: hash of the content."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.call.service, self.call.method, self.call.path):
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part.encode())
        digest.update(self.call.body)
        return digest.hexdigest()


__all__ = ["KeyedCall"]
