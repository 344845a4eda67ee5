"""Headers of the platform, towards servers and from callers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from basilroad.endpoints.channels import OutgoingRequest
from basilroad.endpoints.plainservice import HOP_BY_HOP_HEADERS
from basilroad.gateway.attempt import AttemptOptions, ResponseVerdict
from basilroad.gateway.call import Headers, PromptSize

if TYPE_CHECKING:
    from basilroad.endpoints.channels import ReplyHead
    from basilroad.gateway.call import Call
    from basilroad.peers.address import Address

REQUEST_ID = "X-Attempt-Id"  # the caller's request; all of our attempts carry the same one
TIME_LEFT_MS = "X-Deadline-Ms"  # a span, not a moment
KEY = "X-Key"
WORKSPACE = "X-Tenant"
LAST_EVENT = "Last-Event-Id"
PROMPT_SIZE = "X-Token-Usage"  # an estimate before the run: tokens in, most tokens out
PROMPT_PARTS = "X-Prompt-Prefix"  # all parts of the prompt in order, not just leading ones
ENDPOINT = "X-Expect-Instance"
URGENCY = "X-Request-Urgency"
COPY_AT = "X-Kv-Backup"
MEMORY_FROM = "Kv-From"
SEAL = "x-response-seal"
NOT_RUN = "x-not-executed"
MISDIRECTED = 421
URGENCY_MAX = 9

OURS = frozenset(
    name.lower()
    for name in (
        KEY,
        WORKSPACE,
        TIME_LEFT_MS,
        LAST_EVENT,
        ENDPOINT,
        URGENCY,
        COPY_AT,
        MEMORY_FROM,
        "Kv-Fetch",
        "X-Hold",
        "X-Pin-Ms",
        "X-Expect-Version",
    )
)
"""Headers that only the system sets, in lower case."""

ONE_CHANNEL = HOP_BY_HOP_HEADERS - {"host"}
"""Headers that belong to one connection, in lower case; servers get the caller's host."""


class PlatformProtocol:
    """Writes calls for the platform's servers and reads their answers."""

    def encode(self, call: Call, options: AttemptOptions) -> OutgoingRequest:
        """Write a call for a server.

        :param call: the call
        :param options: what this attempt adds
        :return: the request
        """
        added = [
            (ENDPOINT, options.endpoint_id),
            (TIME_LEFT_MS, str(max(1, int(1000 * options.time_left_s)))),
        ]
        if call.workspace:
            added.append((WORKSPACE, call.workspace))
        if call.route.streams:
            added.append((URGENCY, str(min(URGENCY_MAX, call.rank))))
        resume_after = options.resume_after or call.resume_after
        if options.kv_cache_source is not None:
            added.append((MEMORY_FROM, f"{options.kv_cache_source}/{call.id}"))
        if resume_after:
            added.append((LAST_EVENT, resume_after))
        if options.copy_at is not None:
            added.append((COPY_AT, str(options.copy_at)))
        return OutgoingRequest(call.method, call.target, (*call.headers, *added), call.body)

    def encode_probe(self, address: Address) -> OutgoingRequest:
        """:return: a question for a server's state."""
        return OutgoingRequest("GET", "/report", (("Host", str(address)),))

    def classify_response(self, call: Call, head: ReplyHead, *, first_use: bool) -> ResponseVerdict:
        """Tell what an answer's head says of the call.

        :param call: the call
        :param head: start of the answer
        :param first_use: whether the connection carried no request before
        :return: whether it ran
        """
        echoed = head.get(REQUEST_ID.lower())
        if echoed != call.id and (echoed or not first_use):
            return ResponseVerdict.MISMATCHED
        if head.status == MISDIRECTED:
            return ResponseVerdict.WRONG_ENDPOINT
        if head.get(NOT_RUN):
            return ResponseVerdict.REJECTED
        succeeded = 200 <= head.status < 300
        if succeeded and not (echoed and head.get(SEAL)):
            return ResponseVerdict.MISMATCHED
        return ResponseVerdict.RAN

    def filter_headers(self, head: ReplyHead) -> Headers:
        """:return: headers that are passed on to the caller."""
        return keep_end_headers(head.headers)


def keep_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """:return: the headers that don't belong to one connection."""
    headers = tuple(headers)
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in ONE_CHANNEL and key.lower() not in named
    )


def keep_caller_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """:return: headers of a caller that are passed on unchanged."""
    return tuple(
        (key, value) for key, value in keep_end_headers(headers) if key.lower() not in OURS
    )


def read_prompt_key(headers: Mapping[str, str]) -> str:
    """Read which prompt a generation has.

    :param headers: headers of a caller
    :return: name of the prompt's last part, which is the request's own; empty for other calls
    """
    last = headers.get(PROMPT_PARTS, "").rpartition(",")[2]
    return last.partition(":")[0].strip()


def read_size(headers: Mapping[str, str]) -> PromptSize:
    """Read how large a generation is.

    :param headers: headers of a caller
    :return: its size; zero for other calls
    """
    prompt, _, output = headers.get(PROMPT_SIZE, "").partition(",")
    if not prompt.strip().isdigit() or not output.strip().isdigit():
        return PromptSize()
    return PromptSize(int(prompt), int(output))


__all__ = [
    "KEY",
    "LAST_EVENT",
    "REQUEST_ID",
    "TIME_LEFT_MS",
    "PlatformProtocol",
    "keep_caller_headers",
    "keep_end_headers",
    "read_prompt_key",
    "read_size",
]
