"""Source of a long configuration behind a slow link, for tests on the virtual clock."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from fuchsiadale.platform.store import WATCH_MARGIN_S
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import StoreFailure
from tests.workflow_builders import make_configuration

Outcome = Result[ConfigurationReading, StoreFailure]

POSITIONS_PER_S = 1000
"""Rate at which the position of the store grows, as others write rows all the time."""

NOTICE_S = 0.02
"""Seconds after which a watch notices a change."""


class SlowConfigurationSource(ConfigurationSource):
    """Source whose configuration changes at set times and takes long to arrive.

    All times are in seconds since the source was made.

    Parameters
    ----------
    transfer_s : float
        Duration of the transfer of the configuration.

    Attributes
    ----------
    changes_s : list of float
        Times at which a newer version is written.
    history_losses_s : list of float
        Times at which the store drops its history, and ends the watches.
    lag_s : float
        Seconds by which reads are behind for the time of `lag_lasts_s` from each loss
        of the history on.
    lag_lasts_s : float
        Seconds for which they are.
    answers_watches : bool
        Whether watches are answered; otherwise they time out.
    """

    def __init__(self, transfer_s: float) -> None:
        self._transfer_s = transfer_s
        self._made_s = asyncio.get_running_loop().time()
        self.changes_s: list[float] = []
        self.history_losses_s: list[float] = []
        self.lag_s = 0.0
        self.lag_lasts_s = 0.0
        self.answers_watches = True

    @property
    def _now_s(self) -> float:
        return asyncio.get_running_loop().time() - self._made_s

    async def read(self) -> Outcome:
        """Return the configuration after its transfer."""
        now_s = self._now_s
        is_behind = any(
            lost_s <= now_s < lost_s + self.lag_lasts_s
            for lost_s in self.history_losses_s
        )
        return await self._transfer(now_s - self.lag_s if is_behind else now_s)

    async def watch(self, position: int, wait_s: float) -> Outcome:
        """Return a newer configuration after its transfer, or none after the wait."""
        if not self.answers_watches:
            await asyncio.sleep(wait_s + WATCH_MARGIN_S)
            return Err(StoreFailure.UNKNOWN)
        sent_s, known_s = self._now_s, position / POSITIONS_PER_S
        while True:
            now_s = self._now_s
            if any(known_s < lost_s <= now_s for lost_s in self.history_losses_s):
                return Err(StoreFailure.HISTORY_LOST)
            if self._version_at(now_s) > self._version_at(known_s):
                return await self._transfer(now_s)
            if now_s >= sent_s + wait_s:
                return Ok(ConfigurationReading(None, self._position_at(now_s)))
            await asyncio.sleep(NOTICE_S)

    async def _transfer(self, as_of_s: float) -> Outcome:
        configuration = make_configuration(version=self._version_at(as_of_s))
        await asyncio.sleep(self._transfer_s)
        return Ok(ConfigurationReading(configuration, self._position_at(as_of_s)))

    def _version_at(self, time_s: float) -> int:
        return 1 + sum(changed_s <= time_s for changed_s in self.changes_s)

    def _position_at(self, time_s: float) -> int:
        return round(POSITIONS_PER_S * time_s)
