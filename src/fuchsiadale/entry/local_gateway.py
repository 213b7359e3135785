"""The gateway to the partitions that this process owns."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.membership import partition_of_work_id
from fuchsiadale.decision.views import PartitionView, WorkView
from fuchsiadale.decision.work import Submission
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.peers.gateway import Gateway

DriversGetter = Callable[[], dict[str, PartitionDriver]]


class LocalGateway(Gateway):
    """Passes calls to the partitions that this process owns.

    Parameters
    ----------
    get_drivers : callable
        Returns the drivers of the owned partitions, by partition.
    """

    def __init__(self, get_drivers: DriversGetter) -> None:
        self._get_drivers = get_drivers

    async def submit(
        self, submission: Submission, reply_to: str
    ) -> Result[str, Refusal]:
        """Submit work; return its id, or that of work with the same idempotency key.

        The result of a request is sent to the member `reply_to`; a job does not use it.
        """
        driver = self._find_driver(partition_of_work_id(submission.work_id))
        if isinstance(driver, Err):
            return driver
        return await driver.ok_value.submit(submission, reply_to)

    async def cancel(
        self, work_id: str, reason: Refusal, member: str
    ) -> Result[WorkView, Refusal]:
        """Cancel work and return its view.

        Work is not cancelled while a caller of a member other than `member` waits for
        its result. `member` is empty for a job.
        """
        driver = self._find_driver(partition_of_work_id(work_id))
        if isinstance(driver, Err):
            return driver
        return await driver.ok_value.cancel(work_id, reason, member)

    async def show(self, work_id: str, hold_s: float) -> Result[WorkView, Refusal]:
        """Return a view of work once it is final, or after `hold_s` seconds."""
        driver = self._find_driver(partition_of_work_id(work_id))
        if isinstance(driver, Err):
            return driver
        return await driver.ok_value.show(work_id, hold_s)

    async def list_team_jobs(
        self, partition: str, team: str
    ) -> Result[list[WorkView], Refusal]:
        """Return views of the jobs that a team has in one partition."""
        driver = self._find_driver(partition)
        return driver.map(lambda found: found.list_team_jobs(team))

    async def inspect(self, partition: str) -> Result[PartitionView, Refusal]:
        """Return a view of a partition for operators."""
        return self._find_driver(partition).map(lambda found: found.inspect())

    def _find_driver(self, partition: str) -> Result[PartitionDriver, Refusal]:
        driver = self._get_drivers().get(partition)
        if driver is None:
            message = f"this host does not own partition {partition}"
            return Err(Refusal(ErrorKind.NOT_OWNER, message))
        return Ok(driver)
