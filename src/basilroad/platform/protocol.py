"""HTTP headers of the platform, for requests to servers and from callers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Annotated

import msgspec

from basilroad.coordination.decoding import DecodeError, JsonDecoder
from basilroad.endpoints.plainservice import HOP_BY_HOP_HEADERS
from basilroad.errors import ErrorKind, refuse
from basilroad.gateway.calls.attempt import AttemptOptions, ResponseVerdict
from basilroad.gateway.calls.call import CONTENT_KEY_MARK, Headers, PromptSize
from basilroad.gateway.exchange.crashreports import MAX_KEY_CHARS, MAX_PARTS
from basilroad.gateway.registry.endpoint import EngineReport
from basilroad.http.messages import OutgoingRequest
from basilroad.platform.notices import STATUS_MISDIRECTED, read_limit, read_notice

if TYPE_CHECKING:
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.registry.notices import Notice
    from basilroad.http.messages import ReplyHead
    from basilroad.peers.address import Address

HEADER_REQUEST_ID = "X-Attempt-Id"  # set by the caller; all attempts of a call carry the same id
HEADER_TIME_LEFT_MS = "X-Deadline-Ms"  # remaining time, not a point in time
HEADER_API_KEY = "X-Key"
HEADER_WORKSPACE = "X-Tenant"
HEADER_LAST_EVENT_ID = "Last-Event-Id"
HEADER_RESUMES = "Resumes"  # request id of the try that brought the first event of a stream
HEADER_TOKEN_USAGE = "X-Token-Usage"  # estimate: input tokens, maximum output tokens
HEADER_PROMPT_PARTS = "X-Prompt-Prefix"  # all parts of the prompt in order, not only a prefix
HEADER_EXPECTED_ENDPOINT = "X-Expect-Instance"
HEADER_URGENCY = "X-Request-Urgency"
HEADER_KV_BACKUP = "X-Kv-Backup"
HEADER_KV_SOURCE = "Kv-From"
HEADER_PROMPT_SOURCE = "Kv-Fetch"
HEADER_RESPONSE_SEAL = "x-response-seal"
HEADER_NOT_EXECUTED = "x-not-executed"
MAX_STATUS = 599
MAX_REQUEST_ID_CHARS = 200  # keys of the store have as many bytes
MAX_URGENCY = 9
MAX_COUNT_DIGITS = 9  # far beyond the memory of an engine

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        HEADER_API_KEY,
        HEADER_WORKSPACE,
        HEADER_TIME_LEFT_MS,
        HEADER_LAST_EVENT_ID,
        HEADER_EXPECTED_ENDPOINT,
        HEADER_URGENCY,
        HEADER_KV_BACKUP,
        HEADER_KV_SOURCE,
        HEADER_PROMPT_SOURCE,
        "X-Hold",
        "X-Pin-Ms",
        "X-Expect-Version",
    )
)
"""Headers that only this system may set, in lower case; removed from callers' requests."""

CONNECTION_HEADERS = HOP_BY_HOP_HEADERS - {"host"}
"""Hop-by-hop headers, in lower case; the caller's ``Host`` is passed on to servers."""


Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]


class _Report(msgspec.Struct, rename="camel"):
    queued: Count
    active: Count
    kv_used: Count  # tokens that can't be evicted
    held: Count = 0  # tokens of copies and reservations
    next: Count = 0  # prompt tokens of the first queued run
    runs: list[tuple[str, Count, Count, int]] = []  # with events: id, tokens, events, priority


class _Start(msgspec.Struct):
    born: int | None = None


_REPORT_DECODER = JsonDecoder(_Report)
_START_DECODER = JsonDecoder(_Start)


class PlatformProtocol:
    """Encodes calls for the platform's servers and classifies their responses."""

    def encode(self, call: Call, options: AttemptOptions) -> OutgoingRequest:
        """Encode a call as a request to a server.

        :param call: the call
        :param options: options of this attempt
        :return: the request
        """
        added = [
            (HEADER_EXPECTED_ENDPOINT, options.endpoint_id),
            (HEADER_TIME_LEFT_MS, str(max(1, int(1000 * options.time_left_s)))),
        ]
        if call.workspace:
            added.append((HEADER_WORKSPACE, call.workspace))
        if call.route.streams:
            added.append((HEADER_URGENCY, str(min(MAX_URGENCY, call.rank))))
        resume_after = options.resume_after or call.resume_after
        if options.kv_cache_source is not None:
            added.append((HEADER_KV_SOURCE, f"{options.kv_cache_source}/{call.id}"))
        if resume_after:
            added.append((HEADER_LAST_EVENT_ID, resume_after))
        if options.prompt_source is not None:
            added.append((HEADER_PROMPT_SOURCE, str(options.prompt_source)))
        if options.copy_at is not None:
            added.append((HEADER_KV_BACKUP, str(options.copy_at)))
        headers = (*call.headers, *added)
        return OutgoingRequest(call.method, call.target, headers, call.body, call.id)

    def encode_probe(self, address: Address) -> OutgoingRequest:
        """:return: a request for a server's status report."""
        return OutgoingRequest("GET", "/report", (("Host", str(address)),))

    def decode_report(self, body: bytes) -> EngineReport | None:
        """Decode a server's status report.

        :param body: body of the response
        :return: the report; ``None`` if it is malformed
        """
        try:
            report = _REPORT_DECODER.decode(body)
        except DecodeError:
            return None
        generating = sum(run[1] for run in report.runs)
        # memory of runs that have no event yet; backups of other servers' runs are no work
        prefilling = max(0, report.kv_used - report.held - generating)
        return EngineReport(
            report.active + report.queued,
            report.kv_used,
            prefilling + report.queued * report.next,
        )

    def decode_start(self, body: bytes) -> int | None:
        """Read from a server's status report when the server started.

        :param body: body of the response
        :return: Unix milliseconds; ``None`` if it doesn't report it
        :raises DecodeError: the report can't be read
        """
        return _START_DECODER.decode(body).born

    def read_request_id(self, head: ReplyHead) -> str:
        """:return: id of the call to which a response belongs; empty if it names none."""
        return head.get(HEADER_REQUEST_ID.lower())

    def read_notice(self, head: ReplyHead, endpoint_id: str) -> Notice:
        """Read the notice of the server in a response.

        :param head: status and headers of the response
        :param endpoint_id: id of the server to which the request was sent
        :return: the notice
        """
        return read_notice(head, endpoint_id)

    def read_limit(self, head: ReplyHead, endpoint_id: str) -> float | None:
        """Read the limit that a response names for the requests of all gateways together.

        :param head: status and headers of the response
        :param endpoint_id: id of the server to which the request was sent
        :return: requests a second, infinite if it names none; ``None`` for another server
        """
        return read_limit(head, endpoint_id)

    def classify_response(
        self, call: Call, head: ReplyHead, *, first_use: bool, previous_id: str = ""
    ) -> ResponseVerdict:
        """Classify a response head by whether the server executed the call.

        :param call: the call
        :param head: status and headers of the response
        :param first_use: whether this is the first request on the connection
        :param previous_id: id of the previous request on the connection; empty without one
        :return: the classification
        """
        echoed_id = self.read_request_id(head)
        if echoed_id and echoed_id != call.id and echoed_id == previous_id:
            return ResponseVerdict.SUPERSEDED
        if echoed_id != call.id and (echoed_id or not first_use):
            return ResponseVerdict.MISMATCHED
        if head.status > MAX_STATUS:
            return ResponseVerdict.MISMATCHED
        if head.status == STATUS_MISDIRECTED:
            return ResponseVerdict.WRONG_ENDPOINT
        if head.get(HEADER_NOT_EXECUTED):
            return ResponseVerdict.REJECTED
        succeeded = 200 <= head.status < 300
        if succeeded and not (echoed_id and head.get(HEADER_RESPONSE_SEAL)):
            return ResponseVerdict.MISMATCHED
        return ResponseVerdict.RAN

    def filter_headers(self, head: ReplyHead) -> Headers:
        """:return: the response headers that are forwarded to the caller."""
        return filter_end_to_end_headers(head.headers)


def filter_end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """:return: the headers without hop-by-hop ones and those named by ``Connection``."""
    headers = tuple(headers)
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return tuple(
        (key, value)
        for key, value in headers
        if key.lower() not in CONNECTION_HEADERS and key.lower() not in connection_options
    )


def filter_caller_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """:return: a caller's headers that are forwarded unchanged."""
    return tuple(
        (key, value)
        for key, value in filter_end_to_end_headers(headers)
        if key.lower() not in RESERVED_HEADERS
    )


def read_prompt_key(headers: Mapping[str, str]) -> str:
    """Read the key that identifies the prompt of a generation.

    :param headers: headers of a caller
    :return: name of the prompt's last part, which is specific to the request; empty if absent
    """
    last_part = headers.get(HEADER_PROMPT_PARTS, "").rpartition(",")[2]
    return last_part.partition(":")[0].strip()


def read_prompt_parts(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Read the keys of the parts of a prompt that other requests may share.

    :param headers: headers of a caller
    :return: names of all parts but the last; names that are too long are left out
    """
    parts = headers.get(HEADER_PROMPT_PARTS, "").split(",")[-MAX_PARTS - 1 : -1]
    names = (part.partition(":")[0].strip() for part in parts)
    return tuple(name for name in names if _is_part_key(name))


def _is_part_key(name: str) -> bool:
    return 0 < len(name) <= MAX_KEY_CHARS and not name.startswith(CONTENT_KEY_MARK)


def read_prompt_size(headers: Mapping[str, str]) -> PromptSize:
    """Read the estimated token counts of a generation.

    :param headers: headers of a caller
    :return: the estimate; zero if the header is absent or malformed
    """
    prompt, _, output = headers.get(HEADER_TOKEN_USAGE, "").partition(",")
    counts = [_read_count(text.strip()) for text in (prompt, output)]
    if None in counts:
        return PromptSize()
    return PromptSize(*(count or 0 for count in counts))


def read_resumes(headers: Mapping[str, str]) -> str:
    """Read which stream a caller takes up again.

    :param headers: headers of a caller
    :return: id of the request that brought its first event; empty if absent
    :raises RefusedError: the value can't be the id of a request
    """
    text = headers.get(HEADER_RESUMES, "").strip()
    if len(text) > MAX_REQUEST_ID_CHARS or not (text.isascii() and text.isprintable()):
        raise refuse(ErrorKind.BAD_REQUEST, f"malformed header {HEADER_RESUMES}")
    return text


def _read_count(text: str) -> int | None:
    # int() accepts other scripts' digits and fails beyond some thousand digits
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


__all__ = [
    "HEADER_API_KEY",
    "HEADER_LAST_EVENT_ID",
    "HEADER_REQUEST_ID",
    "HEADER_TIME_LEFT_MS",
    "PlatformProtocol",
    "filter_caller_headers",
    "filter_end_to_end_headers",
    "read_prompt_key",
    "read_prompt_parts",
    "read_prompt_size",
    "read_resumes",
]
