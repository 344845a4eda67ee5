"""Daemons and stand-ins as real processes on separate loopback addresses."""

from __future__ import annotations

import http.client
import itertools
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec
import yaml

from soak.rundelay import RunLimit
from support.background import Background
from support.proxy import FaultProxy

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 1.0

ASK_TIMEOUT_S = 30.0
"""Time limit of a question of a test to a process; the answer is checked, not its speed."""

ENTRY_PORT = 8080
AGENT_PORT = 8090
ENDPOINT_PORT = 9000
PLATFORM_PORT = 7000
RESERVATION_PORT = 6999

_NETWORKS = 64 * 256
_LOG_TAIL = 4000
_counter = itertools.count()


@attrs.define(eq=False)
class Process:
    """One daemon or stand-in.

    :param name: unique in its fleet
    :param command: arguments after ``basilroad``
    :param settings: content of its settings file
    :param address: "ip:port" that it listens on
    :param health: path that returns 200 once it is ready; empty to probe the port only
    :param directory: holds its settings file and its output
    :param proxy: fault proxy in front of it, if any
    :param module: Python module that is run
    """

    name: str
    command: tuple[str, ...]
    settings: dict[str, Any]
    address: str
    health: str
    directory: Path
    proxy: FaultProxy | None = None
    module: str = "basilroad"
    _child: subprocess.Popen[bytes] | None = None
    _closed: bool = False
    _starting: threading.Lock = attrs.field(factory=threading.Lock)

    @property
    def public_address(self) -> str:
        """:return: "ip:port" that other processes use, that of the proxy, unless there is none."""
        return self.proxy.listen if self.proxy else self.address

    @property
    def url(self) -> str:
        """:return: base URL that other processes use."""
        return f"http://{self.public_address}"

    @property
    def control_url(self) -> str:
        """:return: base URL that bypasses the proxy."""
        return f"http://{self.address}"

    @property
    def pid(self) -> int:
        """:return: process id of the running process."""
        assert self._child is not None
        return self._child.pid

    @property
    def logs(self) -> Path:
        """:return: file with the output of all its runs."""
        return self.directory / f"{self.name}.log"

    def start(self) -> None:
        """Write the settings file and start the process.

        :raises RuntimeError: it was closed
        """
        if self.proxy is not None:
            self.proxy.heal()
        path = self.directory / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(self.settings))
        argv = [sys.executable, "-m", self.module, *self.command, "--settings", str(path)]
        with self.logs.open("ab") as output, self._starting:
            if self._closed:
                raise RuntimeError(f"{self.name} is closed")
            self._child = subprocess.Popen(argv, stdout=output, stderr=output)

    def wait_ready(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until it is ready.

        :param timeout: seconds
        :raises RuntimeError: it exited or was not ready in time
        """
        limit = RunLimit(timeout, self._list_pids)
        while not self._is_ready():
            if not self.running or limit.is_over():
                status = self._child.poll() if self._child else None
                raise RuntimeError(
                    f"{self.name} is not ready within {timeout:g} s, {limit.describe()} "
                    f"(exit status {status}):\n{self.read_tail()}"
                )
            time.sleep(POLL_INTERVAL_S)

    def wait_not_ready(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until it no longer reports that it is ready.

        :param timeout: seconds
        :raises RuntimeError: it is still ready
        """
        limit = RunLimit(timeout, self._list_pids)
        while self._is_ready():
            if limit.is_over():
                raise RuntimeError(
                    f"{self.name} is still ready after {timeout:g} s, {limit.describe()}"
                )
            time.sleep(POLL_INTERVAL_S)

    @property
    def running(self) -> bool:
        """:return: whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """Kill it (SIGKILL) and wait until it has exited."""
        if self._child is not None:
            self._child.kill()
            self._child.wait()
        # the port of a dead process refuses connections, so the proxy has to refuse them too
        if self.proxy is not None:
            self.proxy.cut()

    def close(self) -> None:
        """Kill it, and let no thread that is still restarting it start it again."""
        with self._starting:
            self._closed = True
        self.kill()

    def stop(self) -> None:
        """Ask it to stop (SIGTERM) without waiting."""
        self._send(signal.SIGTERM)

    def wait_ended(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Wait until it has exited.

        :param timeout: seconds
        :return: exit status
        :raises RuntimeError: it is still running
        """
        assert self._child is not None
        limit = RunLimit(timeout, self._list_pids)
        while self._child.poll() is None:
            if limit.is_over():
                raise RuntimeError(
                    f"{self.name} is still running after {timeout:g} s, {limit.describe()}:\n"
                    f"{self.read_tail()}"
                )
            time.sleep(POLL_INTERVAL_S)
        return self._child.returncode

    def freeze(self) -> None:
        """Pause it (SIGSTOP)."""
        self._send(signal.SIGSTOP)

    def wake(self) -> None:
        """Resume it (SIGCONT)."""
        self._send(signal.SIGCONT)

    def restart(self) -> None:
        """Kill it, start it again and wait until it is ready."""
        self.kill()
        self.start()
        self.wait_ready()

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request, bypassing the proxy.

        :param method: HTTP method
        :param path: with a leading slash
        :param body: sent as JSON, none if ``None``
        :return: decoded JSON of the response
        """
        raw = b"" if body is None else msgspec.json.encode(body)
        status, answer = _fetch(self.address, path, method, raw, ASK_TIMEOUT_S)
        assert status < 300, f"{method} {path}: {status} {answer!r}"
        return msgspec.json.decode(answer)

    def read_tail(self) -> str:
        """:return: the end of its output."""
        return self.logs.read_text(errors="replace")[-_LOG_TAIL:] if self.logs.exists() else ""

    def wait_logged(self, text: str, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until its output contains a text.

        :param text: part of a line
        :param timeout: seconds
        :raises RuntimeError: the text did not appear in time
        """
        limit = RunLimit(timeout, self._list_pids)
        while text not in self.logs.read_text(errors="replace"):
            if limit.is_over():
                raise RuntimeError(
                    f"{self.name} did not log {text!r} within {timeout:g} s, {limit.describe()}:\n"
                    f"{self.read_tail()}"
                )
            time.sleep(POLL_INTERVAL_S)

    def _list_pids(self) -> list[int]:
        return [self._child.pid] if self._child is not None else []

    def _send(self, number: signal.Signals) -> None:
        assert self._child is not None
        self._child.send_signal(number)

    def _is_ready(self) -> bool:
        host, _, port = self.address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), PROBE_TIMEOUT_S):
                pass
            return not self.health or _fetch(self.address, self.health)[0] == 200
        except (OSError, http.client.HTTPException):
            return False


@attrs.define(eq=False)
class Endpoint:
    """A back end with its agent.

    :param backend: engine or plain service
    :param agent: agent on the same host
    """

    backend: Process
    agent: Process


class Fleet:
    """Processes of one test; kills all of them when it is closed.

    :param directory: for settings files and logs
    :param background: event loop of the proxies
    :param statsd: "ip:port" that daemons send their metrics to; empty for none
    """

    def __init__(self, directory: Path, background: Background, statsd: str = "") -> None:
        self.processes: dict[str, Process] = {}
        self.endpoints: list[Endpoint] = []
        self.entries: list[Process] = []
        self._directory = directory
        self._background = background
        self._statsd = statsd
        self._reservation, self._network = _reserve_network()
        self._hosts = itertools.count(1)
        self._proxies: list[FaultProxy] = []
        self.platform: Process | None = None

    def add_platform(self, *, proxied: bool = False, **settings: Any) -> Process:
        """Start the platform stand-in; has to be called before the other methods.

        :param proxied: put a proxy in front of it
        :param settings: entries of its settings file besides ``listen``
        :return: the process, ready
        """
        address = self._allocate(PLATFORM_PORT)
        settings = {"listen": address, "hosts": [], **settings}
        self.platform = self._start(
            "platform", ("standin", "platform"), settings, address, "/control/counters", proxied
        )
        self.platform.wait_ready()
        return self.platform

    def add_engine(
        self,
        name: str,
        *,
        proxied: bool = False,
        place: tuple[str, str] = ("riga", "riga-a"),
        agent: dict[str, Any] | None = None,
        checks_fence: bool = False,
        configured_model: str = "",
        **settings: Any,
    ) -> Endpoint:
        """Start an engine and its agent.

        :param name: name of the endpoint
        :param proxied: put proxies in front of the engine and the agent
        :param place: region and data centre
        :param agent: entries for the ``agent`` section of the agent's settings
        :param checks_fence: whether the engine rejects old fencing numbers
        :param configured_model: model in the agent's settings, if the engine starts without it
        :param settings: entries of the engine's settings, including ``model``
        :return: both processes, started but possibly not ready yet
        """
        address = self._allocate(ENDPOINT_PORT)
        settings = {
            "name": name,
            "listen": address,
            "adapter": "",
            "version": "1",
            "slots": 16,
            "checks_fence": checks_fence,
            **settings,
        }
        command = ("standin", "engine")
        backend = self._start(name, command, settings, address, "/health", proxied)
        endpoint = {
            "name": name,
            "kind": "engine",
            "service": configured_model or settings["model"],
            "url": backend.url,
            "checks_fence": checks_fence,
            **{k: settings[k] for k in ("adapter", "version", "slots")},
        }
        return self._add_agent(backend, endpoint, place, agent or {}, proxied)

    def add_service(
        self,
        name: str,
        service: str,
        *,
        proxied: bool = False,
        place: tuple[str, str] = ("riga", "riga-a"),
        agent: dict[str, Any] | None = None,
        **settings: Any,
    ) -> Endpoint:
        """Start a plain service and its agent.

        :param name: name of the endpoint
        :param service: name of the service
        :param proxied: put proxies in front of the service and the agent
        :param place: region and data centre
        :param agent: entries for the ``agent`` section of the agent's settings
        :param settings: entries of the plain service's settings
        :return: both processes, started but possibly not ready yet
        """
        address = self._allocate(ENDPOINT_PORT)
        settings = {"name": name, "listen": address, **settings}
        command = ("standin", "service")
        backend = self._start(name, command, settings, address, "/control/counts", proxied)
        endpoint = {
            "name": name,
            "kind": "service",
            "service": service,
            "url": backend.url,
            "slots": 16,
        }
        return self._add_agent(backend, endpoint, place, agent or {}, proxied)

    def add_entry(
        self,
        name: str,
        *,
        place: tuple[str, str] = ("riga", "riga-a"),
        module: str = "basilroad",
        seeds: Sequence[str] = (),
        **settings: Any,
    ) -> Process:
        """Start an entry with the agents added so far as seeds.

        :param name: name of the host
        :param place: region and data centre
        :param module: Python module that is run in place of ``basilroad``
        :param seeds: further addresses of agents
        :param settings: entries for the ``entry`` section of its settings
        :return: the process, started but possibly not ready yet
        """
        address = self._allocate(ENTRY_PORT)
        document = self._describe_host(name, address, place)
        document["seeds"] += seeds
        document["entry"] = {"listen": address, **settings}
        entry = self._start(name, ("entry",), document, address, "/ready", False, module)
        self._announce(entry, "entry", document)
        self.entries.append(entry)
        return entry

    def put_setting(self, path: str, document: dict[str, Any]) -> int:
        """Write a setting unconditionally, without checking for a conflict.

        :param path: below ``settings/``
        :param document: content
        :return: revision of the row
        """
        assert self.platform is not None
        write = {"key": f"settings/{path}", "value": msgspec.json.encode(document).decode()}
        answer = self.platform.ask("POST", "/table/commit", {"writes": [write]})
        (result,) = answer["results"]
        assert result["done"], answer
        return int(result["row"]["revision"])

    def wait_ready(self) -> None:
        """Wait until every running process is ready."""
        for process in self.processes.values():
            if process.running:
                process.wait_ready()

    def list_pids(self) -> list[int]:
        """:return: ids of the processes that are running."""
        return [process.pid for process in self.processes.values() if process.running]

    def close(self) -> None:
        """Kill every process and close every proxy."""
        for process in self.processes.values():
            process.close()
        for proxy in self._proxies:
            proxy.close()
        self._reservation.close()

    def _add_agent(
        self,
        backend: Process,
        endpoint: dict[str, Any],
        place: tuple[str, str],
        settings: dict[str, Any],
        proxied: bool,
    ) -> Endpoint:
        name = f"{backend.name}-agent"
        address = self._allocate(AGENT_PORT)
        document = self._describe_host(name, address, place)
        document["agent"] = {"listen": address, "endpoints": [endpoint], **settings}
        agent = self._start(name, ("agent",), document, address, "", proxied)
        self._announce(agent, "agent", document)
        added = Endpoint(backend, agent)
        self.endpoints.append(added)
        return added

    def _describe_host(self, name: str, address: str, place: tuple[str, str]) -> dict[str, Any]:
        assert self.platform is not None, "add the platform first"
        return {
            "host": name,
            "address": address.rpartition(":")[0],
            "region": place[0],
            "data_centre": place[1],
            "platform": self.platform.url,
            "seeds": [e.agent.public_address for e in self.endpoints],
            "statsd": self._statsd,
            "log_level": "info",
        }

    def _announce(self, process: Process, role: str, document: dict[str, Any]) -> None:
        assert self.platform is not None
        host = {k: document[k] for k in ("region", "data_centre")}
        host |= {"name": process.name, "role": role, "address": process.public_address}
        self.platform.ask("PUT", f"/control/hosts/{process.name}", host)

    def _start(
        self,
        name: str,
        command: tuple[str, ...],
        settings: dict[str, Any],
        address: str,
        health: str,
        proxied: bool,
        module: str = "basilroad",
    ) -> Process:
        process = Process(name, command, settings, address, health, self._directory, module=module)
        if proxied:
            listen = self._allocate(int(address.rpartition(":")[2]))
            process.proxy = FaultProxy(self._background, listen, address)
            self._proxies.append(process.proxy)
        self.processes[name] = process
        process.start()
        return process

    def _allocate(self, port: int) -> str:
        return f"{self._network}.{next(self._hosts)}:{port}"


def _reserve_network() -> tuple[socket.socket, str]:
    """Reserve 256 loopback addresses that nothing else on this machine uses.

    A test process that was killed leaves processes behind, but not its reservation.
    """
    used = _list_used_networks()
    for number in itertools.count(os.getpid() * 61 + next(_counter)):
        high, low = divmod(number % _NETWORKS, 256)
        network = f"127.{64 + high}.{low}"
        if network in used:
            continue
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.255", RESERVATION_PORT))
            reservation.listen()
        except OSError:
            reservation.close()
            continue
        return reservation, network
    raise AssertionError


def _list_used_networks() -> set[str]:
    """:return: first three numbers of all addresses that have a socket."""
    entries = Path("/proc/net/tcp").read_text().splitlines()[1:]
    addresses = (bytes.fromhex(entry.split()[1].partition(":")[0])[::-1] for entry in entries)
    return {".".join(map(str, address[:3])) for address in addresses}


def _fetch(
    address: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = PROBE_TIMEOUT_S,
) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"}
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


__all__ = ["Endpoint", "Fleet", "Process"]
