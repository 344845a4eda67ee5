"""Tells from decision lines why a request went where it went."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any, BinaryIO

import attrs
import msgspec
import typer

from basilroad.logs import Candidate, Decision

_STDIN = "-"
_MARK = b'"decision"'
_HEAD_FIELDS = ("time", "host", "message")
_COMMON_FIELDS = ("level", "logger", "request")


@attrs.frozen
class DecisionLine:
    """A log line that holds a decision.

    :param time: when it was written, ISO 8601 in UTC
    :param host: name of the host that decided
    :param decision: what was decided
    """

    time: str
    host: str
    decision: Decision


@attrs.frozen
class GatewayLine:
    """A log line of a gateway that names a request.

    :param time: when it was written, ISO 8601 in UTC
    :param host: name of the host that wrote it
    :param message: what was decided or seen
    :param fields: its inputs and outcome
    """

    time: str
    host: str
    message: str
    fields: dict[str, Any]


def read_gateway_lines(lines: Iterable[bytes], request: str) -> Iterator[GatewayLine]:
    """Pick the gateways' lines about one request; other lines are passed over.

    :param lines: raw log lines
    :param request: id of the request
    :return: lines in the order in which they were read
    """
    mark = request.encode()
    for line in lines:
        if mark not in line or _MARK in line:
            continue
        try:
            # a log collector may put words of its own before the object
            fields = msgspec.json.decode(line[line.find(b"{") :])
        except msgspec.DecodeError:
            continue
        if not isinstance(fields, dict) or fields.get("request") != request:
            continue
        time, host, message = (str(fields.pop(name, "")) for name in _HEAD_FIELDS)
        kept = {k: v for k, v in fields.items() if k not in _COMMON_FIELDS}
        yield GatewayLine(time, host, message, kept)


def read_decisions(lines: Iterable[bytes]) -> Iterator[DecisionLine]:
    """Pick the decisions out of log lines; other lines are passed over.

    :param lines: raw log lines
    :return: decisions in the order of the lines
    """
    decoder = msgspec.json.Decoder(DecisionLine)
    for line in lines:
        if _MARK not in line:
            continue
        try:
            yield decoder.decode(line)
        except msgspec.DecodeError:
            continue


def select_decisions(lines: Iterable[DecisionLine], request: str) -> list[DecisionLine]:
    """Choose the decisions about one request, also those that name only its generations.

    :param lines: decisions of any number of hosts
    :param request: key of a request or id of a generation
    :return: decisions in order of time
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
        list[str] | None, typer.Argument(help="Log files; - or none reads standard input.")
    ] = None,
) -> None:
    """Tell why a request went where it went."""
    lines = list(_read_lines(files or [_STDIN]))
    decisions = select_decisions(read_decisions(lines), request)
    found = [(line.time, _describe(line)) for line in decisions]
    found += [(g.time, _describe_gateway(g)) for g in read_gateway_lines(lines, request)]
    if not found:
        typer.echo(f"no decision about {request}", err=True)
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


def _describe(line: DecisionLine) -> str:
    decision = line.decision
    target = f" -> {decision.chosen}" if decision.chosen else ""
    head = f"{line.time} {line.host}: {decision.what}, attempt {decision.attempt}{target}"
    first = f"{head}: {decision.reason}" if decision.reason else head
    return "\n".join([first, *(_describe_candidate(c, decision) for c in decision.candidates)])


def _describe_gateway(line: GatewayLine) -> str:
    fields = ", ".join(f"{name} {value}" for name, value in line.fields.items())
    return f"{line.time} {line.host}: {line.message}: {fields}"


def _describe_candidate(candidate: Candidate, decision: Decision) -> str:
    mark = "*" if candidate.endpoint == decision.chosen else " "
    parts = ", ".join(f"{name} {_show(value)}" for name, value in candidate.parts.items())
    return f"  {mark} {candidate.endpoint} {_show(candidate.score)} ({parts})"


def _show(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


__all__ = [
    "DecisionLine",
    "GatewayLine",
    "explain",
    "read_decisions",
    "read_gateway_lines",
    "select_decisions",
]
