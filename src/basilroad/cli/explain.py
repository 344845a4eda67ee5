"""Explains the routing of a request from logged decisions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, BinaryIO

import attrs
import typer

from basilroad.coordination.decoding import DecodeError, JsonDecoder, decode_json
from basilroad.logs import Candidate, Decision

_STDIN = "-"
_DECISION_MARKER = b'"decision"'
_HEAD_FIELDS = ("time", "host", "message")
_COMMON_FIELDS = ("level", "logger", "request")


@attrs.frozen
class DecisionLine:
    """A log line that holds a decision.

    :param time: time of the log line, ISO 8601 in UTC
    :param host: name of the host that made the decision
    :param decision: the decision
    """

    time: str
    host: str
    decision: Decision


@attrs.frozen
class GatewayLine:
    """A log line of a gateway that refers to a request.

    :param time: time of the log line, ISO 8601 in UTC
    :param host: name of the host that wrote it
    :param message: decision or event
    :param fields: other fields of the line, without level, logger and request
    """

    time: str
    host: str
    message: str
    fields: dict[str, Any]


def read_gateway_lines(lines: Iterable[bytes], request: str) -> Iterator[GatewayLine]:
    """Select the gateways' lines about one request; other lines are skipped.

    :param lines: raw log lines
    :param request: id of the request
    :return: lines in the order in which they were read
    """
    mark = request.encode()
    for line in lines:
        if mark not in line or _DECISION_MARKER in line:
            continue
        try:
            # A log collector may prepend text to the JSON object.
            fields = decode_json(line[line.find(b"{") :])
        except DecodeError:
            continue
        if not isinstance(fields, dict) or fields.get("request") != request:
            continue
        time, host, message = (str(fields.pop(name, "")) for name in _HEAD_FIELDS)
        kept = {k: v for k, v in fields.items() if k not in _COMMON_FIELDS}
        yield GatewayLine(time, host, message, kept)


def read_decisions(lines: Iterable[bytes]) -> Iterator[DecisionLine]:
    """Parse the decisions in log lines; other lines are skipped.

    :param lines: raw log lines
    :return: decisions in the order of the lines
    """
    decoder = JsonDecoder(DecisionLine)
    for line in lines:
        if _DECISION_MARKER not in line:
            continue
        try:
            yield decoder.decode(line)
        except DecodeError:
            continue


def select_decisions(lines: Iterable[DecisionLine], request: str) -> list[DecisionLine]:
    """Select the decisions about one request, including those that name only its generations.

    :param lines: decisions of any number of hosts
    :param request: key of a request or id of a generation
    :return: decisions in chronological order
    """
    known = list(lines)
    wanted = [d.decision for d in known if request in (d.decision.request, d.decision.generation)]
    requests = {d.request for d in wanted if d.request} | {request}
    generations = {d.decision.generation for d in known if d.decision.request in requests}
    generations = (generations | {request}) - {""}
    chosen = [
        d for d in known if d.decision.request in requests or d.decision.generation in generations
    ]
    return sorted(chosen, key=lambda d: d.time)


def explain(
    request: Annotated[str, typer.Argument(help="Key of a request or id of a generation.")],
    files: Annotated[
        list[str] | None, typer.Argument(help="Log files; standard input if it is - or omitted.")
    ] = None,
) -> None:
    """Explain why a request was routed as it was."""
    lines = list(_read_lines(files or [_STDIN]))
    decisions = select_decisions(read_decisions(lines), request)
    found = [(line.time, _format_decision(line)) for line in decisions]
    found += [(g.time, _format_gateway_line(g)) for g in read_gateway_lines(lines, request)]
    if not found:
        typer.echo(f"no decision found for request or generation {request}", err=True)
        raise typer.Exit(1)
    for _, text in sorted(found, key=lambda item: item[0]):
        typer.echo(text)


def _read_lines(files: Iterable[str]) -> Iterator[bytes]:
    for name in files:
        if name == _STDIN:
            yield from typer.get_binary_stream("stdin")
            continue
        with _open(name) as stream:
            yield from stream


def _open(name: str) -> BinaryIO:
    try:
        return Path(name).open("rb")
    except OSError as error:
        raise typer.BadParameter(f"{name}: {error.strerror}") from error


def _format_decision(line: DecisionLine) -> str:
    decision = line.decision
    target = f" -> {decision.chosen}" if decision.chosen else ""
    head = f"{line.time} {line.host}: {decision.what}, attempt {decision.attempt}{target}"
    first = f"{head}: {decision.reason}" if decision.reason else head
    return "\n".join([first, *(_format_candidate(c, decision) for c in decision.candidates)])


def _format_gateway_line(line: GatewayLine) -> str:
    fields = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.time} {line.host}: {line.message}: {fields}"


def _format_candidate(candidate: Candidate, decision: Decision) -> str:
    mark = "*" if candidate.endpoint == decision.chosen else " "
    parts = ", ".join(f"{name} {_format_number(value)}" for name, value in candidate.parts.items())
    return f"  {mark} {candidate.endpoint} {_format_number(candidate.score)} ({parts})"


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


__all__ = [
    "DecisionLine",
    "GatewayLine",
    "explain",
    "read_decisions",
    "read_gateway_lines",
    "select_decisions",
]
