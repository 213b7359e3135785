"""Tests of the soak's proxies."""

from __future__ import annotations

import asyncio

from tests.soak.peer_network import CONNECTED, PeerProxy

NODE_IP, PEER_IP, LOOPBACK_IP = "127.0.7.1", "127.0.7.2", "127.0.0.1"
TIMEOUT_S = 0.2


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
