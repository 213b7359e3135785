"""Takes, returns and lowers the grants of this member's partitions."""

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

GRANT_PERIOD_S = 0.1
IDLE_GRANT_S = 10.0
REFUSED_GRANT_DELAY_S = 1.0


@define
class _Held:
    """What is known of one partition's grant of one team."""

    grant: Resources = NO_RESOURCES
    ceiling: Resources | None = None
    is_read: bool = False
    limit_version: int = 0
    retry_at_s: float = 0.0
    idle_since_s: float | None = None


@define
class _Teams:
    held: dict[str, _Held] = field(factory=dict)


class GrantsDriver:
    """Keeps each partition's grants in step with the teams' rows.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    clock : Clock
        The clock.
    counters : Counters
        Takes the counts.
    document : callable
        Returns the configuration document in force.
    drivers : callable
        Returns the drivers of the partitions that this member owns.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        counters: Counters,
        document: Callable[[], ConfigDocument],
        drivers: Callable[[], dict[str, PartitionDriver]],
    ) -> None:
        self._table = table
        self._clock = clock
        self._counters = counters
        self._document = document
        self._drivers = drivers
        self._partitions: dict[PartitionDriver, _Teams] = {}

    async def run(self) -> None:
        """Serve every partition, for ever."""
        while True:
            await self.serve()
            await asyncio.sleep(GRANT_PERIOD_S)

    def prepare(self, driver: PartitionDriver) -> None:
        """Let a partition run nothing of limited teams before their rows are read."""
        self._partitions[driver] = _Teams()
        for name, team in self._document().configuration.teams.items():
            driver.partition.scheduler.set_share(name, team.share)
            if team.limit != NO_LIMIT:
                driver.partition.scheduler.set_grant(name, NO_RESOURCES)

    def config_applied(self) -> None:
        """Take changed shares, and teams that have a limit only now."""
        for driver in self._drivers().values():
            scheduler = driver.partition.scheduler
            for name, team in self._document().configuration.teams.items():
                scheduler.set_share(name, team.share)
                if team.limit == NO_LIMIT:
                    scheduler.set_grant(name, NO_LIMIT)
                elif name not in scheduler.allowances:
                    scheduler.set_grant(name, NO_RESOURCES)
            driver.kick()

    async def serve(self) -> None:
        """Look once at every partition and every team that is active there."""
        drivers = self._drivers()
        current = set(drivers.values())
        self._partitions = {
            driver: teams
            for driver, teams in self._partitions.items()
            if driver in current
        }
        document = self._document()
        for driver in current:
            teams = self._partitions.setdefault(driver, _Teams())
            for name in self._active_teams(driver, teams):
                team = document.configuration.teams.get(name)
                if team is not None and team.limit != NO_LIMIT:
                    held = teams.held.setdefault(name, _Held())
                    await self._serve_team(driver, name, team, held, document.version)

    def _active_teams(self, driver: PartitionDriver, teams: _Teams) -> set[str]:
        scheduler = driver.partition.scheduler
        active = set(teams.held)
        for name, allowance in scheduler.allowances.items():
            if allowance.wanted is not None:
                active.add(name)
        for name, usage in scheduler.usage.items():
            if usage.local != NO_RESOURCES:
                active.add(name)
        return active

    async def _serve_team(
        self,
        driver: PartitionDriver,
        name: str,
        team: TeamConfig,
        held: _Held,
        version: int,
    ) -> None:
        now_s = self._clock.now()
        # What a former owner started may still run where nobody has looked yet.
        if (
            now_s < held.retry_at_s
            or not driver.partition.authority.may_rerun_unreported()
        ):
            return
        scheduler = driver.partition.scheduler
        wanted = scheduler.allowances[name].wanted
        used = scheduler.usage[name].local if name in scheduler.usage else NO_RESOURCES
        if not held.is_read or held.limit_version != version:
            await self._raise(driver, name, team, held, version, wanted or used)
        elif held.ceiling is not None:
            driver.partition.enforce_grant(name)
            driver.kick()
            if used.fits_in(held.ceiling):
                await self._lower(driver, name, held, held.ceiling)
        elif wanted is not None:
            held.idle_since_s = None
            await self._raise(driver, name, team, held, version, wanted)
        else:
            await self._return_idle(driver, name, team, held, used)

    async def _raise(
        self,
        driver: PartitionDriver,
        name: str,
        team: TeamConfig,
        held: _Held,
        version: int,
        wanted: Resources,
    ) -> None:
        """Bring the row to the limit in force and take what is wanted."""

        def change(row: TeamGrants) -> Result[TeamGrants, TableFailure]:
            adopted = apply_limit(row, team.limit, version)
            if isinstance(adopted, Err):
                return Err(TableFailure.CONFLICT)
            return Ok(raise_grant(adopted.ok_value, driver.name, wanted))

        before = held.grant
        await self._change(driver, name, held, team.limit, version, change)
        if not wanted.fits_in(held.grant):
            held.retry_at_s = self._clock.now() + REFUSED_GRANT_DELAY_S
            self._counters.add("limited.team")
        if held.grant != before:
            driver.kick()

    async def _lower(
        self, driver: PartitionDriver, name: str, held: _Held, keep: Resources
    ) -> None:
        """Give back what exceeds `keep`; the grant is lowered here first."""
        driver.partition.scheduler.set_grant(name, keep)

        def change(row: TeamGrants) -> Result[TeamGrants, TableFailure]:
            return Ok(lower_grant(row, driver.name, keep))

        await self._change(driver, name, held, NO_LIMIT, held.limit_version, change)

    async def _return_idle(
        self,
        driver: PartitionDriver,
        name: str,
        team: TeamConfig,
        held: _Held,
        used: Resources,
    ) -> None:
        """Give back a grant that has been far above the usage for a while."""
        reserve = team.limit.scaled_by_ratio(
            Resources(1, 1, 1, 1, 1), Resources(*[GRANT_CHUNKS_PER_LIMIT] * 5)
        )
        keep = used + reserve if used != NO_RESOURCES else NO_RESOURCES
        if held.grant.fits_in(keep):
            held.idle_since_s = None
            return
        now_s = self._clock.now()
        if held.idle_since_s is None:
            held.idle_since_s = now_s
        if now_s - held.idle_since_s >= IDLE_GRANT_S:
            held.idle_since_s = None
            await self._lower(driver, name, held, keep)

    async def _change(
        self,
        driver: PartitionDriver,
        name: str,
        held: _Held,
        limit: Resources,
        version: int,
        change: Callable[[TeamGrants], Result[TeamGrants, TableFailure]],
    ) -> None:
        """Change a team's row by compare-and-swap and take the outcome."""
        read = await self._table.read(team_grants_key(name))
        if isinstance(read, Err):
            held.retry_at_s = self._clock.now() + REFUSED_GRANT_DELAY_S
            return
        stored = read.ok_value
        row = TeamGrants(limit, version)
        if stored is not None:
            decoded = decode(stored.value, TeamGrants)
            if isinstance(decoded, Err):
                self._counters.add("grants.unreadable")
                return
            row = decoded.ok_value
        changed = change(row)
        if isinstance(changed, Err):
            self._counters.add("grants.stale_limit")
            return
        if changed.ok_value != row or stored is None:
            transaction = Transaction(
                writes=(Write(team_grants_key(name), encode(changed.ok_value)),),
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
        self._hold(driver, name, held, changed.ok_value)

    def _hold(
        self, driver: PartitionDriver, name: str, held: _Held, row: TeamGrants
    ) -> None:
        """Act from now on within the grant that the row surely holds."""
        grant = row.grants.get(driver.name, NO_RESOURCES)
        held.grant = grant
        held.ceiling = row.ceilings.get(driver.name)
        held.is_read = True
        held.limit_version = row.limit_version
        if held.ceiling is not None:
            grant = grant.minimum(held.ceiling)
        driver.partition.scheduler.set_grant(name, grant)
