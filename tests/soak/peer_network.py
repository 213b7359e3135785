"""Connections of nodes to their peers, from which single nodes can be cut off."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from tests.soak.proxy import CHUNK_BYTES, Proxy, ProxyMode

CONNECTED = b"HTTP/1.1 200 OK\r\n\r\n"


class PeerProxy(Proxy):
    """HTTP proxy through which one node connects to its peers.

    As long as the node or the peer is cut off, their connections are silent, and new
    ones get no answer.

    Parameters
    ----------
    host : str
        Address on which the proxy listens.
    node_ip : str
        Address of the node.
    cut_ips : set of str
        Addresses of the nodes that are cut off at present.
    """

    def __init__(self, host: str, node_ip: str, cut_ips: set[str]) -> None:
        super().__init__(host, 0)
        self._node_ip = node_ip
        self._cut_ips = cut_ips

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            writer.transport.abort()
            return
        ip, _, port = head.split()[1].decode().partition(":")
        ends = {self._node_ip, ip}

        def get_mode() -> ProxyMode:
            return ProxyMode.SILENT if ends & self._cut_ips else ProxyMode.OPEN

        if get_mode() is ProxyMode.OPEN:
            await self._relay(reader, writer, (ip, int(port)), get_mode, CONNECTED)
            return
        self._writers.add(writer)
        with suppress(OSError):
            while await reader.read(CHUNK_BYTES):
                pass
        self._writers.discard(writer)
        writer.close()
