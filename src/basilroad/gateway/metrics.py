"""Prometheus metrics of a gateway."""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from basilroad.gateway.calls.attempt import MayHaveRun, NotRun
from basilroad.gateway.calls.call import Reply

if TYPE_CHECKING:
    from basilroad.errors import Refusal
    from basilroad.gateway.calls.call import Call
    from basilroad.gateway.registry.notices import Source
    from basilroad.gateway.registry.silence import SilenceKind
    from basilroad.http.ends import EndCause

RANK_MAX = 9
"""Highest rank with its own label value; bounds the number of label values."""

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 10, 25)
"""Histogram buckets in seconds, dense around the targets specified for the fleets."""


class GatewayMetrics:
    """Metrics of one gateway."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.attempts = Counter(
            "basilroad_attempts",
            "Attempts at endpoints by outcome.",
            ["form", "outcome"],
            registry=self.registry,
        )
        self.calls = Counter(
            "basilroad_calls",
            "Calls of callers by what they got.",
            ["form", "outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "basilroad_refusals",
            "Calls that ended without an endpoint's answer.",
            ["kind"],
            registry=self.registry,
        )
        self.ends = Counter(
            "basilroad_connections_ended",
            "Connections of callers that ended before the whole answer to a request.",
            ["cause"],
            registry=self.registry,
        )
        self.prompts = Counter(
            "basilroad_repeated_prompts",
            "Attempts with a prompt that an engine has run before, by how the engine gets it",
            ["access"],
            registry=self.registry,
        )
        self.prompt_s = self._build_histogram(
            "basilroad_prompt_seconds",
            "From the start of an attempt to its first event, by how its engine was to get the"
            " prompt.",
            "access",
        )
        self.resumes = Counter(
            "basilroad_resumes",
            "Streams that resumed at another endpoint.",
            ["memory"],
            registry=self.registry,
        )
        self.silences = Counter(
            "basilroad_endpoint_silences",
            "Silences of engines with pending calls, by how far they reach.",
            ["kind"],
            registry=self.registry,
        )
        self.crashes = Counter(
            "basilroad_crashes",
            "Calls that endpoints ran when they crashed.",
            ["source"],
            registry=self.registry,
        )
        self.stream_records = Counter(
            "basilroad_stream_records",
            "Records of the versions of streams that were written.",
            registry=self.registry,
        )
        self.takeups = Counter(
            "basilroad_stream_takeups",
            "Streams that callers take up again by how their version was found.",
            ["source"],
            registry=self.registry,
        )
        self.unrecorded_streams = Counter(
            "basilroad_streams_unrecorded",
            "Streams that were passed on though their versions could not be recorded.",
            registry=self.registry,
        )
        self.refused_parts = Counter(
            "basilroad_refused_parts",
            "Contents and prompt parts that are refused since endpoints crashed on them.",
            registry=self.registry,
        )
        self.notices = Counter(
            "basilroad_endpoint_notices",
            "Notices of endpoints that leave or want no requests for a while.",
            ["kind", "source"],
            registry=self.registry,
        )
        self.answer_s = self._build_histogram(
            "basilroad_answer_seconds", "From a call's arrival to the end of its answer.", "form"
        )
        self.first_event_s = self._build_histogram(
            "basilroad_first_event_seconds", "From a stream's arrival to its first event.", "rank"
        )
        self.wait_s = self._build_histogram(
            "basilroad_wait_seconds", "Wait of a call for an endpoint with room.", "rank"
        )
        self.gap_s = self._build_histogram(
            "basilroad_event_gap_seconds", "Between two events passed on.", "rank"
        )
        self._gauges = {
            name: Gauge(f"basilroad_{name}", text, registry=self.registry)
            for name, text in (
                ("config_version", "Version of the configuration in force."),
                ("config_age_seconds", "Since the configuration was last confirmed."),
                ("endpoints", "Endpoints that are listed."),
                ("endpoints_usable", "Endpoints that take work."),
                ("calls_waiting", "Calls that wait for an endpoint."),
                ("probes", "Probes sent to silent engines."),
            )
        }

    def count_attempt(self, call: Call, outcome: object) -> None:
        """Count the outcome of one attempt.

        :param call: the call
        :param outcome: its outcome
        """
        self.attempts.labels(name_form(call), self._name_outcome(outcome)).inc()

    def count_end(self, cause: EndCause) -> None:
        """Count a connection that ended without a whole answer.

        :param cause: why
        """
        self.ends.labels(cause.value).inc()

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a call that ended without an endpoint's response.

        :param refusal: the error returned to the caller
        """
        self.refusals.labels(refusal.kind.value).inc()

    def count_silence(self, kind: SilenceKind) -> None:
        """Count a silence of an engine with pending calls.

        :param kind: how far it reaches
        """
        self.silences.labels(kind.value).inc()

    def count_notice(self, kind: str, source: Source) -> None:
        """Count a new notice of an endpoint.

        :param kind: what it says
        :param source: origin of the notice
        """
        self.notices.labels(kind, source.value).inc()

    def render(self, gauge_values: Mapping[str, float]) -> bytes:
        """Render all metrics.

        :param gauge_values: current values by gauge name
        :return: Prometheus text format
        """
        for name, value in gauge_values.items():
            self._gauges[name].set(value)
        return generate_latest(self.registry)

    def _build_histogram(self, name: str, text: str, label: str) -> Histogram:
        return Histogram(name, text, [label], buckets=BUCKETS_S, registry=self.registry)

    @singledispatchmethod
    def _name_outcome(self, outcome: object) -> str:
        return type(outcome).__name__.lower()

    @_name_outcome.register
    def _(self, outcome: Reply) -> str:
        return f"status_{outcome.status // 100}xx"

    @_name_outcome.register
    def _(self, outcome: NotRun) -> str:
        return "turned_away" if outcome.full else "not_run"

    @_name_outcome.register
    def _(self, outcome: MayHaveRun) -> str:
        return "timed_out" if outcome.timed_out else "may_have_run"


def name_form(call: Call) -> str:
    """:return: label for streams, repeatable calls or calls that run once."""
    if call.route.streams:
        return "stream"
    return "repeatable" if call.route.repeatable else "once"


def name_rank(rank: int) -> str:
    """:return: label of a rank."""
    return str(min(RANK_MAX, max(0, rank)))


__all__ = ["GatewayMetrics", "name_form", "name_rank"]
