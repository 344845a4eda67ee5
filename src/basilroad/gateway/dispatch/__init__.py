"""Assignment of calls to endpoints: the queue, the candidates, and the choice among them."""

from __future__ import annotations
