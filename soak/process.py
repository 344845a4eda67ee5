"""One gateway process."""

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

from soak.settings import APPLY_S, DRAIN_S, GRACE_S, REVOKE_S

FRONT_PORT, READY_PORT, PEER_PORT = 8227, 8220, 7340
POLL_S = 0.02
MASKS = ("SigIgn", "SigCgt")


@attrs.define
class GatewayProcess:
    """Starts and signals one gateway; only processes that it started itself.

    :param number: which gateway
    :param ip: loopback address of its own
    :param folder: for its settings and log
    :param store_port: where it reaches the store
    """

    number: int
    ip: str
    folder: Path
    store_port: int
    starts: list[float] = attrs.field(factory=list)
    paused: bool = False
    _process: subprocess.Popen[bytes] | None = None
    _busy: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def front(self) -> str:
        """:return: URL for callers."""
        return f"http://{self.ip}:{FRONT_PORT}"

    @property
    def readiness(self) -> str:
        """:return: URL that tells whether it is ready."""
        return f"http://{self.ip}:{READY_PORT}/readiness"

    @property
    def log(self) -> Path:
        """:return: what it wrote, over all its lives."""
        return self.folder / f"gateway-{self.number}.log"

    @property
    def pid(self) -> int:
        """:return: identifier of its present process."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start it."""
        settings = self.folder / f"gateway-{self.number}.yaml"
        settings.write_text(yaml.safe_dump(self._build_settings()))
        environment = {**os.environ, "BASILROAD_SETTINGS": str(settings)}
        with self.log.open("ab") as log:
            command = [sys.executable, "-m", "basilroad", "gateway"]
            self._process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
        self.starts.append(time.monotonic())

    async def kill(self, away_s: float) -> None:
        """End it at once; start it again.

        :param away_s: seconds in between
        """
        async with self._busy:
            self._signal(signal.SIGKILL)
            await self._wait_end()
            await asyncio.sleep(away_s)
            self.start()

    async def stop(self) -> float:
        """Stop it as planned; start it again.

        :return: seconds that it took
        """
        async with self._busy:
            asked_at = time.monotonic()
            self._signal(signal.SIGTERM)
            await self._wait_end(GRACE_S)
            took_s = time.monotonic() - asked_at
            self._signal(signal.SIGKILL)
            await self._wait_end()
            self.start()
            return took_s

    async def pause(self, for_s: float) -> None:
        """Freeze it for a while.

        :param for_s: seconds
        """
        async with self._busy:
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it to read its settings again."""
        if not self._busy.locked() and _minds_reload(self.pid):
            self._signal(signal.SIGHUP)

    async def end(self) -> None:
        """End it for good."""
        async with self._busy:
            self._signal(signal.SIGKILL)
            await self._wait_end()

    @property
    def has_ended(self) -> bool:
        """:return: whether it ended by itself."""
        ended = self._process is not None and self._process.poll() is not None
        return ended and not self._busy.locked()

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def _wait_end(self, limit_s: float = 10.0) -> None:
        until = time.monotonic() + limit_s
        while self._process is not None and self._process.poll() is None:
            if time.monotonic() > until:
                return
            await asyncio.sleep(POLL_S)

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
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
            "bounds": {
                "drainMs": 1000 * DRAIN_S,
                "graceS": GRACE_S,
                "configApplyMs": 1000 * APPLY_S,
                "strictRevoke": True,
                "revokeMs": 1000 * REVOKE_S,
                "retryBudgetRatio": 0.8,
                "budgetWindowS": 10,
                "retrySlack": 150,
            },
        }


def _minds_reload(pid: int) -> bool:
    # while Python itself starts, the signal ends any program
    status = Path(f"/proc/{pid}/status").read_text()
    masks = [int(line.split()[1], 16) for line in status.splitlines() if line[:6] in MASKS]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)


__all__ = ["GatewayProcess"]
