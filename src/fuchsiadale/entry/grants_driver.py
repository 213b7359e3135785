"""Raises, lowers and releases the grants of the partitions that this member owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from fuchsiadale.codec import decode, encode
from fuchsiadale.config.model import ConfigDocument, TeamConfig
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.grants import (
    GRANT_CHUNKS_PER_LIMIT,
    TeamGrants,
    apply_limit,
    lower_grant,
    raise_grant,
)
from fuchsiadale.decision.resources import NO_LIMIT, NO_RESOURCES, Resources
from fuchsiadale.decision.rows import team_grants_key
from fuchsiadale.entry.partition_driver import PartitionDriver
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.table import (
    ABSENT_VERSION,
    Condition,
    TableFailure,
    TableService,
    Transaction,
    Write,
    transact_with_readback,
)

# Seconds between two updates of all grants.
GRANT_UPDATE_PERIOD_S = 0.1
# How many seconds a grant must be larger than needed before the excess is released.
IDLE_GRANT_RELEASE_DELAY_S = 10.0
# Seconds until the next try after a grant was too small or a row was not read.
GRANT_RETRY_DELAY_S = 1.0


@define
class _GrantState:
    """What is known of the grant that one partition has for one team.

    Attributes
    ----------
    grant : Resources
        The grant, as last read or written.
    ceiling : Resources or None
        The amount to which the grant must be reduced after the team's limit was
        lowered; None if it need not be reduced.
    is_read : bool
        Whether the team's row has been read.
    limit_version : int
        Version of the configuration that set the limit in the row.
    retry_at_s : float
        Clock time before which the grant is not updated.
    idle_since_s : float or None
        Clock time since which the grant has been larger than needed; None if it is not.
    """

    grant: Resources = NO_RESOURCES
    ceiling: Resources | None = None
    is_read: bool = False
    limit_version: int = 0
    retry_at_s: float = 0.0
    idle_since_s: float | None = None


@define
class _PartitionGrants:
    """What is known of the grants of one partition.

    Attributes
    ----------
    by_team : dict of str to _GrantState
        The grant of each team, by team name.
    """

    by_team: dict[str, _GrantState] = field(factory=dict)


class GrantsDriver:
    """Keeps the grants of each partition and the rows of the teams consistent.

    Parameters
    ----------
    table : TableService
        Holds the row of each team with the grants of all partitions.
    clock : Clock
        Measures the delays.
    counters : Counters
        Counts grants that are too small, rows that cannot be decoded or hold the limit
        of a newer configuration, and failed writes.
    get_document : callable
        Returns the configuration document in force.
    get_drivers : callable
        Returns the drivers of the partitions that this member owns, by partition.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        counters: Counters,
        get_document: Callable[[], ConfigDocument],
        get_drivers: Callable[[], dict[str, PartitionDriver]],
    ) -> None:
        self._table = table
        self._clock = clock
        self._counters = counters
        self._get_document = get_document
        self._get_drivers = get_drivers
        self._partitions: dict[PartitionDriver, _PartitionGrants] = {}

    async def run(self) -> None:
        """Update the grants in every period until cancelled."""
        while True:
            await self.update_grants()
            await asyncio.sleep(GRANT_UPDATE_PERIOD_S)

    def add_partition(self, driver: PartitionDriver) -> None:
        """Add a partition, with empty grants for all teams that have a limit.

        The partition runs no tasks of these teams until their rows have been read.
        """
        self._partitions[driver] = _PartitionGrants()
        for name, team in self._get_document().configuration.teams.items():
            driver.partition.scheduler.set_share(name, team.share)
            if team.limit != NO_LIMIT:
                driver.partition.scheduler.set_grant(name, NO_RESOURCES)

    def handle_config_change(self) -> None:
        """Apply the teams' shares, and limits that are new or were removed.

        A team with a new limit gets an empty grant until its row is read. Changed
        limits are applied by `update_grants`.
        """
        for driver in self._get_drivers().values():
            scheduler = driver.partition.scheduler
            for name, team in self._get_document().configuration.teams.items():
                scheduler.set_share(name, team.share)
                if team.limit == NO_LIMIT:
                    scheduler.set_grant(name, NO_LIMIT)
                elif name not in scheduler.allowances:
                    scheduler.set_grant(name, NO_RESOURCES)
            driver.schedule_step()

    async def update_grants(self) -> None:
        """Update the grants of every partition for the teams that are active there."""
        drivers = self._get_drivers()
        current = set(drivers.values())
        self._partitions = {
            driver: grants
            for driver, grants in self._partitions.items()
            if driver in current
        }
        document = self._get_document()
        for driver in current:
            grants = self._partitions.setdefault(driver, _PartitionGrants())
            for name in self._active_teams(driver, grants):
                team = document.configuration.teams.get(name)
                if team is not None and team.limit != NO_LIMIT:
                    state = grants.by_team.setdefault(name, _GrantState())
                    await self._update_team(driver, name, team, state, document.version)

    def _active_teams(
        self, driver: PartitionDriver, grants: _PartitionGrants
    ) -> set[str]:
        """Return the teams with a known grant, unmet demand or usage."""
        scheduler = driver.partition.scheduler
        active = set(grants.by_team)
        for name, allowance in scheduler.allowances.items():
            if allowance.wanted is not None:
                active.add(name)
        for name, usage in scheduler.usage.items():
            if usage.local != NO_RESOURCES:
                active.add(name)
        return active

    async def _update_team(
        self,
        driver: PartitionDriver,
        name: str,
        team: TeamConfig,
        state: _GrantState,
        version: int,
    ) -> None:
        now_s = self._clock.now()
        # Tasks that a former owner started may still run on workers that have not
        # reported yet, and they count against the limit.
        if (
            now_s < state.retry_at_s
            or not driver.partition.authority.may_rerun_unreported()
        ):
            return
        scheduler = driver.partition.scheduler
        wanted = scheduler.allowances[name].wanted
        used = scheduler.usage[name].local if name in scheduler.usage else NO_RESOURCES
        if not state.is_read or state.limit_version != version:
            await self._raise_grant(driver, name, team, state, version, wanted or used)
        elif state.ceiling is not None:
            driver.partition.enforce_grant(name)
            driver.schedule_step()
            if used.fits_in(state.ceiling):
                await self._lower_grant(driver, name, state, state.ceiling)
        elif wanted is not None:
            state.idle_since_s = None
            await self._raise_grant(driver, name, team, state, version, wanted)
        else:
            await self._release_idle_grant(driver, name, team, state, used)

    async def _raise_grant(
        self,
        driver: PartitionDriver,
        name: str,
        team: TeamConfig,
        state: _GrantState,
        version: int,
        wanted: Resources,
    ) -> None:
        """Set the limit in force in the team's row; raise the grant towards `wanted`.

        If the row does not allow `wanted`, the next update of the grant waits for the
        retry delay.
        """

        def raise_in_row(row: TeamGrants) -> Result[TeamGrants, TableFailure]:
            with_limit = apply_limit(row, team.limit, version)
            if isinstance(with_limit, Err):
                return Err(TableFailure.CONFLICT)
            return Ok(raise_grant(with_limit.ok_value, driver.name, wanted))

        previous_grant = state.grant
        await self._update_row(driver, name, state, team.limit, version, raise_in_row)
        if not wanted.fits_in(state.grant):
            state.retry_at_s = self._clock.now() + GRANT_RETRY_DELAY_S
            self._counters.add("limited.team")
        if state.grant != previous_grant:
            driver.schedule_step()

    async def _lower_grant(
        self,
        driver: PartitionDriver,
        name: str,
        state: _GrantState,
        max_grant: Resources,
    ) -> None:
        """Lower a grant to `max_grant`, first in the scheduler and then in the row."""
        driver.partition.scheduler.set_grant(name, max_grant)

        def lower_in_row(row: TeamGrants) -> Result[TeamGrants, TableFailure]:
            return Ok(lower_grant(row, driver.name, max_grant))

        await self._update_row(
            driver, name, state, NO_LIMIT, state.limit_version, lower_in_row
        )

    async def _release_idle_grant(
        self,
        driver: PartitionDriver,
        name: str,
        team: TeamConfig,
        state: _GrantState,
        used: Resources,
    ) -> None:
        """Lower a grant that has been larger than needed for the release delay.

        The grant of a team that uses resources is lowered to its usage plus one chunk
        of the limit, that of a team without usage to nothing.
        """
        reserve = team.limit.scaled_by_ratio(
            Resources(1, 1, 1, 1, 1), Resources(*[GRANT_CHUNKS_PER_LIMIT] * 5)
        )
        max_grant = used + reserve if used != NO_RESOURCES else NO_RESOURCES
        if state.grant.fits_in(max_grant):
            state.idle_since_s = None
            return
        now_s = self._clock.now()
        if state.idle_since_s is None:
            state.idle_since_s = now_s
        if now_s - state.idle_since_s >= IDLE_GRANT_RELEASE_DELAY_S:
            state.idle_since_s = None
            await self._lower_grant(driver, name, state, max_grant)

    async def _update_row(
        self,
        driver: PartitionDriver,
        name: str,
        state: _GrantState,
        limit: Resources,
        version: int,
        update: Callable[[TeamGrants], Result[TeamGrants, TableFailure]],
    ) -> None:
        """Change a team's row by compare-and-swap, then apply the stored row.

        `limit` and `version` fill a row that does not exist yet.
        """
        read = await self._table.read(team_grants_key(name))
        if isinstance(read, Err):
            state.retry_at_s = self._clock.now() + GRANT_RETRY_DELAY_S
            return
        stored = read.ok_value
        row = TeamGrants(limit, version)
        if stored is not None:
            decoded = decode(stored.value, TeamGrants)
            if isinstance(decoded, Err):
                self._counters.add("grants.unreadable")
                return
            row = decoded.ok_value
        updated = update(row)
        if isinstance(updated, Err):
            self._counters.add("grants.stale_limit")
            return
        if updated.ok_value != row or stored is None:
            transaction = Transaction(
                writes=(Write(team_grants_key(name), encode(updated.ok_value)),),
                conditions=(
                    Condition(
                        team_grants_key(name),
                        stored.version if stored else ABSENT_VERSION,
                    ),
                ),
            )
            outcome = await transact_with_readback(self._table, transaction)
            if isinstance(outcome, Err):
                self._counters.add(f"grants.{outcome.err_value.value}")
                return
        self._apply_row(driver, name, state, updated.ok_value)

    def _apply_row(
        self, driver: PartitionDriver, name: str, state: _GrantState, row: TeamGrants
    ) -> None:
        """Limit the scheduler to the stored grant, or the ceiling if that is lower."""
        grant = row.grants.get(driver.name, NO_RESOURCES)
        state.grant = grant
        state.ceiling = row.ceilings.get(driver.name)
        state.is_read = True
        state.limit_version = row.limit_version
        if state.ceiling is not None:
            grant = grant.minimum(state.ceiling)
        driver.partition.scheduler.set_grant(name, grant)
