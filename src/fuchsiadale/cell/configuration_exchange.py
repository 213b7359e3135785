"""Lets processes learn the configuration from the owner of their cell."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable

from eliot import log_message
from result import Err

from fuchsiadale.cell.configuration_watch import ConfigurationWatch
from fuchsiadale.cell.peer_messages import ConfigurationView
from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.cell.row_values import uncompress
from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.workflow.configuration import CellConfiguration

ASKING_AGE_S = 1.3
"""Age of the configuration, in seconds, from which the owner is asked for it.

It is longer than the time between two confirmations by a store that answers.
"""

ASKING_INTERVAL_S = 0.5
"""Mean number of seconds between two calls to the owner."""

RETRY_INTERVAL_S = 0.2
"""The same after the owner has a newer version that it does not pass on yet."""

MAX_TRANSFER_S = 1.0
"""Duration of its own read, in seconds, above which a process passes nothing on.

Its link would then be busy with the copies for peers.
"""

MAX_CONTENT_BYTES = 3_500_000
"""Size in bytes above which nothing is passed on; gRPC limits a message to 4 MB."""

PASSING_BYTES_PER_S = 4_000_000.0
"""Mean rate at which a process passes configurations on to its peers."""


class ConfigurationExchange:
    """Passes the configuration on to peers, and asks the owner when it is overdue here.

    A document that takes long on a slow link, and a store that does not answer this
    process, delay its own reads. The owner usually has the better link, and sends the
    configuration compressed.

    Parameters
    ----------
    watch : ConfigurationWatch
        The configuration of this process.
    get_owner_client : callable
        Returns the client of the owner; None if the owner is unknown or this process.
    connect : callable
        Returns a client of the peer at an address. It is not the shared one, so that a
        long reply delays no other calls on its connection.
    """

    def __init__(
        self,
        watch: ConfigurationWatch,
        get_owner_client: Callable[[], PeerClient | None],
        connect: Callable[[str], PeerClient],
    ) -> None:
        self._watch = watch
        self._get_owner_client = get_owner_client
        self._connect = connect
        self._client: PeerClient | None = None
        self._content = b""
        self._content_version = 0
        self._next_passing_s = 0.0

    @property
    def _may_pass_on(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        is_fast = self._watch.transfer_s <= MAX_TRANSFER_S
        return is_fast and now_s >= self._next_passing_s

    def show(
        self, known_version: int, wants_content: bool = False
    ) -> ConfigurationView | None:
        """Return the configuration of this process for a peer; None if there is none.

        Parameters
        ----------
        known_version : int
            Version that the peer has; 0 if it has none.
        wants_content : bool
            Whether the peer receives the content now.
        """
        current = self._watch.current
        if current is None:
            return None
        content = b""
        if current.version > known_version and self._may_pass_on:
            content = self._encode(current)
        if len(content) > MAX_CONTENT_BYTES:
            content = b""
        if content and wants_content:
            now_s = asyncio.get_running_loop().time()
            self._next_passing_s = now_s + len(content) / PASSING_BYTES_PER_S
        return ConfigurationView(
            current.version,
            self._watch.age_s,
            len(content),
            content if wants_content else b"",
        )

    async def run(self) -> None:
        """Ask the owner while the configuration is overdue, until cancelled."""
        try:
            interval_s = ASKING_INTERVAL_S
            while True:
                await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))
                interval_s = ASKING_INTERVAL_S
                owner = self._get_owner_client()
                if owner is None or self._watch.age_s <= ASKING_AGE_S:
                    continue
                is_kept_back = await self._ask(owner.address)
                if is_kept_back:
                    interval_s = RETRY_INTERVAL_S
        finally:
            await self._close()

    async def _ask(self, address: str) -> bool:
        """Ask the owner; return whether it keeps back a newer version for now."""
        if self._client is None or self._client.address != address:
            await self._close()
            self._client = self._connect(address)
        current = self._watch.current
        known_version = 0 if current is None else current.version
        # The content is asked for apart: a silent owner is noticed sooner without it.
        view = await self._receive(self._client, known_version, 0)
        if view is not None and view.content_bytes:
            view = await self._receive(self._client, known_version, view.content_bytes)
        if view is None:
            return False
        return view.version > known_version and not view.content

    async def _receive(
        self, client: PeerClient, known_version: int, content_bytes: int
    ) -> ConfigurationView | None:
        """Ask the owner and process what it has; return that."""
        sent_s = asyncio.get_running_loop().time()
        view = await client.show_configuration(known_version, content_bytes)
        if view is None:
            return None
        configuration = None
        if view.content:
            decoded = _decode(view.content)
            if isinstance(decoded, str):
                log_message("peer_configuration_unreadable", problem=decoded)
                return view
            configuration = decoded
        self._watch.take_from_peer(
            view.version, configuration, sent_s - view.age_s, len(view.content)
        )
        return view

    async def _close(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            await client.close()

    def _encode(self, configuration: CellConfiguration) -> bytes:
        """Return the compressed configuration, which is kept for the next peer."""
        if self._content_version != configuration.version:
            self._content = zlib.compress(encode(configuration), level=1)
            self._content_version = configuration.version
        return self._content


def _decode(content: bytes) -> CellConfiguration | str:
    """Return the configuration that a peer has sent, or why it cannot be read."""
    encoded = uncompress(content)
    if isinstance(encoded, Err):
        return encoded.err_value
    decoded = decode(encoded.ok_value, CellConfiguration)
    return decoded.err_value if isinstance(decoded, Err) else decoded.ok_value
