"""The count of prompts that are read anew."""

from __future__ import annotations

from basilroad.standin.promptcache import PromptLoad
from soak.promptreads import PromptReads
from soak.records import Kind, Record, Request


def build_request(name: str, resumes: str = "") -> Request:
    return Request(name, Kind.STREAM, 0, "/s/x", "k", "w", b"b", 100.0, resumes=resumes)


def test_prompts_of_take_ups_count_that_an_engine_had() -> None:
    requests = [build_request("first"), *(build_request(f"again-{n}", "first") for n in range(4))]
    record = Record(requests={request.id: request for request in requests})
    record.prompt_loads = [
        PromptLoad("first", 800),
        PromptLoad("first", 800, ("i-2",)),
        PromptLoad("again-0", 0, ("i-1",)),
        PromptLoad("again-1", 800, ("i-1",)),
        PromptLoad("again-2", 800, ("i-1", "i-2")),
        PromptLoad("again-3", 800),
    ]
    assert PromptReads.measure(record) == PromptReads(cached=3, read_anew=2, read_twice=1)
