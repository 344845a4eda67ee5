"""Metrics and decision log of single generations."""

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
    """Records the outcomes of generations, by rank and workspace.

    :param metrics: metrics of the process
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_finished(self, identity: Identity, tokens: int) -> None:
        """Count the tokens of a completed generation.

        :param identity: sender of the request
        :param tokens: tokens of the answer
        """
        self._metrics.count_rank_tokens(identity.rank, tokens)
        self._metrics.count_workspace_tokens(identity.workspace, tokens)

    def record_first_token(self, identity: Identity, wait_s: float) -> None:
        """Record the time to first token.

        :param identity: sender of the request
        :param wait_s: seconds to the first token
        """
        self._metrics.record_first_token(identity.rank, wait_s)

    def record_resumed(self, identity: Identity, gap_s: float) -> None:
        """Record the gap in the output of a resumed generation.

        :param identity: sender of the request
        :param gap_s: seconds from the detection of the failure to the next token
        """
        self._metrics.record_resume(identity.rank, gap_s)

    def record_refused(
        self, identity: Identity, refusal: Refusal, *, generation: str, attempt: int
    ) -> None:
        """Count and log a refusal.

        :param identity: sender of the request
        :param refusal: error that the caller receives
        :param generation: identifier of the generation
        :param attempt: number of its latest attempt
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
        """Log that an attempt ended before the answer was complete and the next one resumes it.

        :param generation: identifier of the generation
        :param attempt: number of the attempt
        :param endpoint: name of the endpoint it ran on
        :param reason: reason of the failure
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
