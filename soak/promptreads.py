"""Prompts of streams that were taken up, as engines got them."""

from __future__ import annotations

import attrs

from soak.records import Record


@attrs.frozen
class PromptReads:
    """How many prompts were read anew at a take-up though an engine had them in its cache.

    A figure, not a promise: an engine that has a prompt may be full, leave or be out of reach.

    :param cached: prompts of take-ups that an engine of the stream's version had in its cache
    :param read_anew: those of them that another engine had to read
    """

    cached: int
    read_anew: int

    @classmethod
    def measure(cls, record: Record) -> PromptReads:
        """Count the prompts of a run.

        :param record: record of the run
        :return: the counts
        """
        taken_up = {request.id for request in record.requests.values() if request.resumes}
        cached = [
            load for load in record.prompt_loads if load.request_id in taken_up and load.holders
        ]
        return cls(len(cached), sum(load.tokens_read > 0 for load in cached))


__all__ = ["PromptReads"]
