"""The operator takes away the keys of the tenants one after the other, the last one too."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig2 import (
    PLAIN,
    AppServer,
    Gateway,
    Record,
    Store,
    build_config,
    build_request,
    build_route,
    now,
    read_message,
    run_case,
)

REVOKE_S = 5.0
"""``revokeMs`` of the settings."""

TENANTS = {"hule930": "n2ctnfzs989anu6wsjnb", "dovi212": "anfqasnmgkcuyj8pjbvk"}
FOREIGN_KEY = "zzzz0000nobodysownkey"


class Client:
    """A client with a kept channel.

    :param gateway: the gateway
    :param name: begins the ids of its requests
    :param key: its API key
    """

    def __init__(self, gateway: Gateway, name: str, key: str) -> None:
        self.name, self._gateway, self._key, self._number = name, gateway, key, 0
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def order(self, record: Record) -> str:
        """Send an order, on the kept channel if it is open.

        :return: its id
        """
        self._number += 1
        request_id = f"{self.name}-{self._number}"
        request = build_request(
            request_id, "POST", "/puxa403/2f", 4000, b"x" * 100, X_Key=self._key
        )
        message = None
        for _ in range(2):
            if self._channel is None:
                self._channel = await asyncio.open_connection(*self._gateway.front)
            self._channel[1].write(request)
            message = await read_message(self._channel[0])
            if message is not None and message[1].get("connection") != "close":
                break
            self._channel[1].close()
            self._channel = None
            if message is not None:
                break
        record.write(f"client: {request_id}: {message[0] if message else 'closed'}")
        return request_id


async def main(record: Record, trouble: bool, folder: Path) -> bool:
    store = Store("127.0.57.1")
    await store.start()
    servers = [AppServer(f"127.0.57.{10 + i}", f"i-plain{i}", "siparis", record) for i in range(2)]
    for server in servers:
        await server.start()
        store.put("servers", server.id, server.entry())
    routes = [build_route("r-order", "/puxa403/", "non_idempotent", "siparis", maxAttempts=1)]
    gateway = Gateway(folder, "edge-izmir-a-1", "127.0.57.2", store.address)

    def publish(version: int, names: list[str]) -> float:
        config = build_config(version, routes, [{"name": "siparis", **PLAIN}])
        config["tenants"] = [{"name": name, "apiKeys": [TENANTS[name]]} for name in names]
        store.put("op", "config", config)
        record.write(f"operator: config {version} with the tenants {names} is acknowledged")
        return now()

    taken_at: dict[str, float] = {}
    publish(7, list(TENANTS))
    gateway.start()
    broken: list[str] = []
    try:
        await gateway.wait_ready()
        await asyncio.sleep(1)
        clients = {name: Client(gateway, name, key) for name, key in TENANTS.items()}
        stranger = Client(gateway, "stranger", FOREIGN_KEY)

        async def order(name: str, client: Client) -> None:
            sent_at = now()
            request_id = await client.order(record)
            is_late = name not in TENANTS or sent_at > taken_at.get(name, sent_at) + REVOKE_S
            if is_late and any(request_id in server.ran for server in servers):
                broken.append(request_id)

        async def order_all(times: int) -> None:
            for _ in range(times):
                for name, client in clients.items():
                    await order(name, client)
                await order("stranger", stranger)
                await asyncio.sleep(0.25)

        await order_all(4)
        taken_at["hule930"] = publish(8, ["dovi212"])
        await order_all(28)
        if trouble:
            taken_at["dovi212"] = publish(11, [])
        await order_all(32)
    finally:
        gateway.end()
        for listener in (*servers, store):
            await listener.stop()
    record.write(
        f"{len(broken)} orders ran whose key was taken away before or never held: {broken}"
    )
    return bool(broken)


run_case(main, Path(__file__).resolve().parent)
