"""Tests of the soak's proxies."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.peer_network import CONNECTED, PeerProxy
from tests.soak.proxy import Proxy

NODE_IP, PEER_IP, LOOPBACK_IP = "127.0.7.1", "127.0.7.2", "127.0.0.1"
TIMEOUT_S = 0.2
LINK_BYTES_PER_S = 1_000_000
REPLY_BYTES = 200_000


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)


async def _is_echoed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    writer.write(b"call")
    try:
        return await asyncio.wait_for(reader.readexactly(4), TIMEOUT_S) == b"call"
    except TimeoutError:
        return False


async def test_no_call_passes_between_peers_while_one_is_cut_off() -> None:
    peer = await asyncio.start_server(_echo, PEER_IP, 0)
    peer_port = peer.sockets[0].getsockname()[1]
    cut_ips: set[str] = set()
    proxy = PeerProxy(LOOPBACK_IP, NODE_IP, cut_ips)
    port = await proxy.start()
    request = f"CONNECT {PEER_IP}:{peer_port} HTTP/1.1\r\n\r\n".encode()
    kept = await asyncio.open_connection(LOOPBACK_IP, port)
    kept[1].write(request)
    assert await kept[0].readexactly(len(CONNECTED)) == CONNECTED
    assert await _is_echoed(*kept)
    for cut_ip in (NODE_IP, PEER_IP):
        cut_ips.add(cut_ip)
        assert not await _is_echoed(*kept)
        fresh = await asyncio.open_connection(LOOPBACK_IP, port)
        fresh[1].write(request)
        assert not await _is_echoed(*fresh)
        cut_ips.clear()
        fresh = await asyncio.open_connection(LOOPBACK_IP, port)
        fresh[1].write(request)
        assert await fresh[0].readexactly(len(CONNECTED)) == CONNECTED
        assert await _is_echoed(*fresh)
        kept = fresh
    await proxy.stop()
    peer.close()


async def _send_reply(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readexactly(1)
    writer.write(bytes(REPLY_BYTES))


async def _start_limited_proxy() -> tuple[asyncio.Server, Proxy, int]:
    target = await asyncio.start_server(_send_reply, LOOPBACK_IP, 0)
    proxy = Proxy(LOOPBACK_IP, target.sockets[0].getsockname()[1])
    proxy.bytes_per_s = LINK_BYTES_PER_S
    return target, proxy, await proxy.start()


async def test_connections_share_the_limited_rate_of_a_link() -> None:
    target, proxy, port = await _start_limited_proxy()
    loop = asyncio.get_running_loop()
    begun_s = loop.time()

    async def fetch() -> float:
        reader, writer = await asyncio.open_connection(LOOPBACK_IP, port)
        writer.write(b"?")
        await reader.readexactly(REPLY_BYTES)
        writer.close()
        return loop.time() - begun_s

    durations_s = await asyncio.gather(fetch(), fetch())
    needed_s = 2 * REPLY_BYTES / LINK_BYTES_PER_S
    assert max(durations_s) > 0.7 * needed_s
    assert min(durations_s) > 0.5 * needed_s
    await proxy.stop()
    target.close()


async def test_reply_on_a_slow_link_stops_midway_when_its_connection_goes_silent() -> (
    None
):
    target, proxy, port = await _start_limited_proxy()
    reader, writer = await asyncio.open_connection(LOOPBACK_IP, port)
    writer.write(b"?")
    await reader.readexactly(REPLY_BYTES // 4)
    proxy.silence()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(
            reader.readexactly(3 * REPLY_BYTES // 4),
            2 * REPLY_BYTES / LINK_BYTES_PER_S,
        )
    await proxy.stop()
    target.close()
