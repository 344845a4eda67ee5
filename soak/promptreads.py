"""Prompts that engines read though they were read before."""

from __future__ import annotations

from collections import Counter

import attrs

from soak.records import Record


@attrs.frozen
class PromptReads:
    """How many prompts were read anew though an engine had them in its cache.

    Figures, not promises: an engine that has a prompt may be full, leave or be out of reach.

    :param cached: prompts of take-ups that an engine of the stream's version had in its cache
    :param read_anew: those of them that another engine had to read
    :param read_twice: requests whose prompt was read more than once, by one engine after another
    """

    cached: int
    read_anew: int
    read_twice: int = 0

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
        reads = Counter(load.request_id for load in record.prompt_loads if load.tokens_read)
        read_twice = sum(count > 1 for count in reads.values())
        return cls(len(cached), sum(load.tokens_read > 0 for load in cached), read_twice)


__all__ = ["PromptReads"]
