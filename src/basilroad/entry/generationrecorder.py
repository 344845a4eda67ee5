"""What is counted and logged of single generations."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from basilroad.logs import Decision, log_decision

if TYPE_CHECKING:
    from basilroad.entry.identity import Identity
    from basilroad.errors import Refusal
    from basilroad.metrics import Metrics
    from basilroad.peers.failreason import FailReason

_LOGGER = logging.getLogger(__name__)


class GenerationRecorder:
    """Counts what became of generations, by rank and workspace.

    :param metrics: of the process
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_finished(self, identity: Identity, tokens: int) -> None:
        """Count a whole answer.

        :param identity: who asked
        :param tokens: length of the answer
        """
        self._metrics.count_rank_tokens(identity.rank, tokens)
        self._metrics.count_workspace_tokens(identity.workspace, tokens)

    def record_first_token(self, identity: Identity, wait_s: float) -> None:
        """Count how long a caller waited.

        :param identity: who asked
        :param wait_s: seconds to the first token
        """
        self._metrics.record_first_token(identity.rank, wait_s)

    def record_resumed(self, identity: Identity, gap_s: float) -> None:
        """Count how long output stood still.

        :param identity: who asked
        :param gap_s: seconds from the known loss to the next token
        """
        self._metrics.record_resume(identity.rank, gap_s)

    def record_refused(
        self, identity: Identity, refusal: Refusal, *, generation: str, attempt: int
    ) -> None:
        """Count and log a refusal.

        :param identity: who asked
        :param refusal: what the caller is told
        :param generation: identifier of the generation
        :param attempt: number of its newest attempt
        """
        self._metrics.count_refusal(identity.rank, refusal.kind)
        decision = Decision(
            what="refuse",
            request=generation.partition("-")[0],
            generation=generation,
            attempt=attempt,
            reason=refusal.kind.value,
        )
        log_decision(_LOGGER, decision)

    def log_resume(self, generation: str, attempt: int, endpoint: str, reason: FailReason) -> None:
        """Log that an attempt ended without its answer, so that the next one goes on.

        :param generation: identifier of the generation
        :param attempt: number of the attempt
        :param endpoint: where it ran
        :param reason: why it ended
        """
        decision = Decision(
            what="resume",
            request=generation.partition("-")[0],
            generation=generation,
            attempt=attempt,
            chosen=endpoint,
            reason=reason.value,
        )
        log_decision(_LOGGER, decision)


__all__ = ["GenerationRecorder"]
