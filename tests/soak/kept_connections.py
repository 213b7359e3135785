"""Callers that open a connection, keep it idle and send a call in two parts."""

from __future__ import annotations

import asyncio
import re

from attrs import frozen

from tests.soak.nodes import API_KEY, CLIENT_PORT, ROUTE_HOST, ROUTE_PREFIX

LOSS_SLACK_S = 0.2
"""Seconds after its last byte in which the end of a connection may cut a call."""


@frozen
class DelayedCall:
    """A submission over a connection that was open for a while.

    Attributes
    ----------
    job_id : str
        Id of the submitted job.
    body : bytes
        Body of the submission.
    idle_s : float
        Seconds from opening the connection until the head of the call is sent.
    pause_s : float
        Seconds between the head and the body.
    """

    job_id: str
    body: bytes
    idle_s: float
    pause_s: float

    @property
    def _head(self) -> bytes:
        return (
            f"POST {ROUTE_PREFIX}{self.job_id} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
            f"X-Fuchsiadale-Credential: {API_KEY}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        ).encode()

    async def send(self, ip: str) -> float | None:
        """Send the call to a process.

        Returns
        -------
        float or None
            Seconds from the last byte until the connection ended without a complete
            answer. None if the call was answered, or not sent as a whole because the
            connection had ended.
        """
        reader, writer = await asyncio.open_connection(ip, CLIENT_PORT)
        try:
            for delay_s, data in ((self.idle_s, self._head), (self.pause_s, self.body)):
                await asyncio.sleep(delay_s)
                if reader.at_eof():
                    return None
                writer.write(data)
            sent_s = asyncio.get_running_loop().time()
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                assert length is not None
                await reader.readexactly(int(length[1]))
            except (asyncio.IncompleteReadError, OSError):
                return asyncio.get_running_loop().time() - sent_s
            return None
        finally:
            writer.close()
