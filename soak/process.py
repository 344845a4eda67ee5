"""Control of one gateway process."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import attrs
import yaml

from soak.link import Link
from soak.records import StopTimes
from soak.rundelay import RunLimit
from soak.settings import APPLY_S, CONTACT_S, DRAIN_S, GRACE_S, REVOKE_S

FRONT_PORT, READY_PORT, PEER_PORT = 8227, 8220, 7340
EXIT_S = 10.0
"""Seconds within which a process exits after SIGKILL."""

POLL_S = 0.02
SIGNAL_MASK_FIELDS = ("SigIgn", "SigCgt")


@attrs.define
class GatewayProcess:
    """Starts and signals one gateway; signals only processes that it started itself.

    :param number: number of the gateway
    :param ip: loopback address, used by this gateway alone
    :param folder: directory of its settings and log
    :param store: link over which it reaches the store
    :param arguments: arguments of the interpreter that run a gateway
    """

    number: int
    ip: str
    folder: Path
    store: Link
    arguments: tuple[str, ...] = ("-m", "basilroad", "gateway")
    starts: list[float] = attrs.field(factory=list)
    paused: bool = False
    _process: subprocess.Popen[bytes] | None = None
    _killed: subprocess.Popen[bytes] | None = None
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def front(self) -> str:
        """:return: URL for callers."""
        return f"http://{self.ip}:{FRONT_PORT}"

    @property
    def readiness(self) -> str:
        """:return: URL of the readiness check."""
        return f"http://{self.ip}:{READY_PORT}/readiness"

    @property
    def log(self) -> Path:
        """:return: path of its log, shared by all its starts."""
        return self.folder / f"gateway-{self.number}.log"

    @property
    def pid(self) -> int:
        """:return: identifier of the current process."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Write the settings and start the process."""
        settings = self.folder / f"gateway-{self.number}.yaml"
        settings.write_text(yaml.safe_dump(self._build_settings()))
        environment = {**os.environ, "BASILROAD_SETTINGS": str(settings)}
        with self.log.open("ab") as log:
            command = [sys.executable, *self.arguments]
            self._process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
        self.starts.append(time.monotonic())

    async def kill(self, downtime_s: float) -> None:
        """Send SIGKILL, then start the gateway again.

        :param downtime_s: seconds between exit and start
        """
        async with self._lock:
            self._signal(signal.SIGKILL)
            await self._wait_exit()
            await asyncio.sleep(downtime_s)
            self.start()

    async def kill_at_once(self, downtime_s: float) -> None:
        """Send SIGKILL also to a process that is suspended or stopping, then start the gateway.

        :param downtime_s: seconds between exit and start
        """
        killed = self._killed = self._process
        self._signal(signal.SIGKILL)
        async with self._lock:
            # a stop in progress has started it again
            if self._process is not killed:
                return
            await self._wait_exit()
            await asyncio.sleep(downtime_s)
            self.start()

    async def stop(self) -> StopTimes:
        """Send SIGTERM, then start the gateway again.

        SIGKILL follows if it has not exited within the grace period, in which the time does not
        count that it or the soak waits for a processor.

        :return: how long the exit took
        """
        async with self._lock:
            signalled_at = time.monotonic()
            limit = RunLimit(GRACE_S, self._list_pids)
            self._signal(signal.SIGTERM)
            running_at = await self._wait_exit(limit)
            took_s = time.monotonic() - signalled_at
            times = StopTimes(running_at - signalled_at, took_s, limit.measure_lost())
            self._signal(signal.SIGKILL)
            await self._wait_exit()
            self.start()
            return times

    async def pause(self, duration_s: float) -> None:
        """Suspend the process, then resume it.

        :param duration_s: seconds of the suspension
        """
        async with self._lock:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Send SIGHUP, so that the gateway reads its settings again.

        Nothing is sent while another signal is in progress or before the process handles SIGHUP.
        """
        if not self._lock.locked() and _handles_sighup(self.pid):
            self._signal(signal.SIGHUP)

    async def end(self) -> None:
        """Kill the process without starting it again."""
        async with self._lock:
            self._signal(signal.SIGKILL)
            await self._wait_exit()

    @property
    def has_exited(self) -> bool:
        """:return: whether the process exited without being signalled."""
        ended = self._process is not None and self._process.poll() is not None
        return ended and not self._lock.locked() and self._process is not self._killed

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def _wait_exit(self, limit: RunLimit | None = None) -> float:
        """:return: monotonic seconds at which the process was last seen running."""
        limit = limit or RunLimit(EXIT_S, self._list_pids)
        running_at = asked_at = time.monotonic()
        while self._process is not None and self._process.poll() is None:
            running_at = asked_at
            if limit.is_over():
                break
            await asyncio.sleep(POLL_S)
            asked_at = time.monotonic()
        return running_at

    def _list_pids(self) -> list[int]:
        return [self._process.pid] if self._process is not None else []

    def _build_settings(self) -> dict[str, object]:
        return {
            "node": f"gateway-{self.number}",
            "role": "gateway",
            "ip": self.ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r", "b": "r"},
            "listen": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
            "internalPorts": [PEER_PORT],
            "platform": {"address": f"{self.store.ip}:{self.store.port}"},
            "bounds": {
                "drainMs": 1000 * DRAIN_S,
                "contactMs": 1000 * CONTACT_S,
                "graceS": GRACE_S,
                "configApplyMs": 1000 * APPLY_S,
                "strictRevoke": True,
                "revokeMs": 1000 * REVOKE_S,
                "retryBudgetRatio": 0.8,
                "budgetWindowS": 10,
                "retrySlack": 150,
            },
        }


def _handles_sighup(pid: int) -> bool:
    # until the gateway has installed its handler, SIGHUP terminates the starting interpreter
    status = Path(f"/proc/{pid}/status").read_text()
    masks = [
        int(line.split()[1], 16) for line in status.splitlines() if line[:6] in SIGNAL_MASK_FIELDS
    ]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)


__all__ = ["GatewayProcess"]
