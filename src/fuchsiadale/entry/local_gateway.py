"""Reaches the partitions that this process owns."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.membership import partition_of_work_id
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.peers.gateway import Gateway

Drivers = Callable[[], dict[str, PartitionDriver]]


class LocalGateway(Gateway):
    """Reaches the partitions that this process owns.

    Parameters
    ----------
    drivers : callable
        Returns the drivers by partition.
    """

    def __init__(self, drivers: Drivers) -> None:
        self._drivers = drivers

    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Submit work for a member; return the id of the work accepted."""
        driver = self._find(partition_of_work_id(submission.work_id))
        if isinstance(driver, Err):
            return driver
        return await driver.ok_value.submit(submission, reply_to)

    async def cancel(
        self, work_id: str, reason: Refusal, member: str
    ) -> Result[WorkView, Refusal]:
        """End work, unless the caller of another member waits for it."""
        driver = self._find(partition_of_work_id(work_id))
        if isinstance(driver, Err):
            return driver
        return await driver.ok_value.cancel(work_id, reason, member)

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work, once it is final or `hold_s` seconds have passed."""
        driver = self._find(partition_of_work_id(work_id))
        if isinstance(driver, Err):
            return driver
        return await driver.ok_value.show(work_id, hold_s)

    async def list_team_jobs(
        self, partition: str, team: str
    ) -> Result[list[WorkView], Refusal]:
        """Return views of a team's jobs in one partition."""
        driver = self._find(partition)
        return driver.map(lambda found: found.list_team(team))

    async def inspect(self, partition: str) -> Result[PartitionView, Refusal]:
        """Return a view of a partition for operators."""
        return self._find(partition).map(lambda found: found.inspect())

    def _find(self, partition: str) -> Result[PartitionDriver, Refusal]:
        driver = self._drivers().get(partition)
        if driver is None:
            message = f"this host does not own partition {partition}"
            return Err(Refusal(ErrorKind.NOT_OWNER, message))
        return Ok(driver)
