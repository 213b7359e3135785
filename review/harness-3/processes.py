"""Runs the stand-ins of the store and of workers as processes of their own.

Usage: processes.py store IP PORT RECORD
       processes.py workers IP-PREFIX FIRST COUNT STORE RECORD OPTIONS-AS-JSON
"""

from __future__ import annotations

import asyncio
import json
import sys
from base64 import b64encode
from pathlib import Path

import aiohttp
from standins import Record, Store, Worker, reply, serve


class RemoteStore:
    """Lets workers and the operator write to a store in another process."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/stand-in/put"
        self._session: aiohttp.ClientSession | None = None

    async def put(self, table: str, key: str, value: dict | None) -> None:
        self._session = self._session or aiohttp.ClientSession()
        body = {"table": table, "key": key, "value": value}
        for _ in range(5):
            try:
                async with self._session.post(self._url, data=json.dumps(body)) as answer:
                    await answer.read()
                return
            except aiohttp.ClientError:
                await asyncio.sleep(0.2)

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()


async def run_store(ip: str, port: int, record_path: Path) -> None:
    store = Store(Record(record_path))
    handle = store.handler_for("any")

    async def handle_all(request):
        if request.path == "/stand-in/put":
            body = json.loads(await request.read())
            await store.put(body["table"], body["key"], body["value"])
            return reply({})
        return await handle(request)

    await serve(handle_all, ip, port)
    await asyncio.Event().wait()


async def run_workers(prefix, first, count, store_address, record_path, options) -> None:
    store, record = RemoteStore(store_address), Record(record_path)
    for number in range(first, first + count):
        worker = Worker(store, record, f"worker-{number}", f"{prefix}.{100 + number}", **options)
        await worker.begin()
    await asyncio.Event().wait()


if __name__ == "__main__":
    if sys.argv[1] == "store":
        asyncio.run(run_store(sys.argv[2], int(sys.argv[3]), Path(sys.argv[4])))
    else:
        asyncio.run(run_workers(sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), sys.argv[5],
                                Path(sys.argv[6]), json.loads(sys.argv[7])))
