"""Asks the witnesses of an owner without renewals to confirm an outage of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message

from fuchsiadale.cell.peers import PeerClient
from fuchsiadale.cell.tenure import Tenure

CHECK_INTERVAL_S = 0.2
"""Seconds between two looks at the age of the last renewal."""

OUTAGE_AGE_S = 0.9
"""Age in seconds of the last renewal from which the witnesses are asked.

An owner renews twice in this time.
"""

ASK_INTERVAL_S = 0.5
"""Seconds between two requests to the witnesses."""


class OutageConfirmation:
    """Asks the witnesses of the owner in this process while it cannot renew.

    Parameters
    ----------
    get_tenure : callable
        Returns the ownership of this process; None if it does not own the cell.
    connect : callable
        Returns a client of the peer at an address.
    """

    def __init__(
        self,
        get_tenure: Callable[[], Tenure | None],
        connect: Callable[[str], PeerClient],
    ) -> None:
        self._get_tenure = get_tenure
        self._connect = connect
        self._clients: dict[str, PeerClient] = {}

    async def run(self) -> None:
        """Ask the witnesses whenever renewals are missing, until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                tenure = self._get_tenure()
                if tenure is None or tenure.renewed_age_s < OUTAGE_AGE_S:
                    await self._close_clients()
                elif tenure.may_act:
                    await self._ask_witnesses(tenure)
                    await asyncio.sleep(ASK_INTERVAL_S - CHECK_INTERVAL_S)
        finally:
            await self._close_clients()

    async def _ask_witnesses(self, tenure: Tenure) -> None:
        witnesses = tenure.witnesses
        answers = await asyncio.gather(
            *(self._ask_witness(tenure, address) for address in witnesses)
        )
        log_message(
            "outage_confirmed",
            epoch=tenure.row.epoch,
            renewed_age_s=round(tenure.renewed_age_s, 3),
            witnesses=len(witnesses),
            confirmations=sum(answers),
        )

    async def _ask_witness(self, tenure: Tenure, address: str) -> bool:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._connect(address)
        asked_s = asyncio.get_running_loop().time()
        is_confirmed = await client.confirm_outage(tenure.row.epoch)
        if is_confirmed:
            tenure.note_outage_confirmed(address, asked_s)
        return is_confirmed

    async def _close_clients(self) -> None:
        clients, self._clients = self._clients, {}
        for client in clients.values():
            await client.close()
