"""Renews this member's lease and watches the others'."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from eliot import log_message
from result import Err, Ok

from fuchsiadale.codec import decode, encode
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.constants import MEMBER_RENEWAL_INTERVAL_S
from fuchsiadale.decision.membership import MemberLeaseTracker, VersionedMemberRow
from fuchsiadale.decision.rows import (
    MEMBER_PREFIX,
    MemberRow,
    journal_marker_key,
    liveness_key,
    member_key,
)
from fuchsiadale.entry.identity import Identity
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

Renewed = Callable[[float], None]
Lost = Callable[[], Awaitable[None]]


class MembershipDriver:
    """Keeps this process a member and declares expired members dead.

    Parameters
    ----------
    table : TableService
        The table.
    identity : Identity
        The member that this process is.
    clock : Clock
        The clock.
    counters : Counters
        Takes the counts.
    on_renewed : callable
        Called with the time at which a successful renewal was sent.
    on_lost : callable
        Awaited when this member was declared dead, before it joins anew.
    """

    def __init__(
        self,
        table: TableService,
        identity: Identity,
        clock: Clock,
        counters: Counters,
        on_renewed: Renewed,
        on_lost: Lost,
    ) -> None:
        self._table = table
        self._identity = identity
        self._clock = clock
        self._counters = counters
        self._on_renewed = on_renewed
        self._on_lost = on_lost
        self._observer = MemberLeaseTracker(clock)
        self._renewals = 0
        self._member_version = 0
        self.draining = False

    @property
    def members(self) -> dict[str, MemberRow]:
        """The members as last read."""
        return self._observer.members

    @property
    def has_joined(self) -> bool:
        """Whether this member's rows are in place."""
        return self._identity.alive_version > 0

    async def run(self) -> None:
        """Join, then renew the lease, for ever."""
        while True:
            if self.has_joined:
                await self.renew()
            else:
                await self.join()
            await asyncio.sleep(MEMBER_RENEWAL_INTERVAL_S)

    async def join(self) -> None:
        """Write this member's rows for the first time."""
        sent_s = self._clock.now()
        member = self._identity.member
        row = self._identity.row(self._renewals, self.draining)
        transaction = Transaction(
            writes=(
                Write(member_key(member), encode(row)),
                Write(liveness_key(member), b""),
                Write(journal_marker_key(member), b""),
            ),
            conditions=(Condition(liveness_key(member), ABSENT_VERSION),),
        )
        outcome = await transact_with_readback(self._table, transaction)
        if isinstance(outcome, Err):
            self._counters.add(f"membership.join.{outcome.err_value.value}")
            return
        self._identity.alive_version = outcome.ok_value.version
        self._on_renewed(sent_s)
        log_message("member_joined", member=member)

    async def renew(self) -> None:
        """Write this member's row anew, which is the lease of all it owns."""
        sent_s = self._clock.now()
        self._renewals += 1
        member = self._identity.member
        row = self._identity.row(self._renewals, self.draining)
        transaction = Transaction(
            writes=(Write(member_key(member), encode(row)),),
            conditions=(Condition(liveness_key(member), self._identity.alive_version),),
        )
        outcome = await transact_with_readback(self._table, transaction)
        if isinstance(outcome, Ok):
            self._on_renewed(sent_s)
            return
        self._counters.add(f"membership.renew.{outcome.err_value.value}")
        if outcome.err_value is TableFailure.CONFLICT and await self._is_dead():
            await self.rejoin()

    async def rejoin(self) -> None:
        """Give up what this member owned and become a new one."""
        log_message("member_lost", member=self._identity.member)
        self._counters.add("membership.lost")
        await self._on_lost()
        self._identity.renew()
        await self.join()

    async def observe(self) -> bool:
        """Read the members' rows; return whether the store answered."""
        rows = await self._table.scan(MEMBER_PREFIX)
        if isinstance(rows, Err):
            self._observer.restart_leases()
            return False
        seen: list[VersionedMemberRow] = []
        for row in rows.ok_value:
            decoded = decode(row.value, MemberRow)
            if isinstance(decoded, Ok):
                seen.append(VersionedMemberRow(decoded.ok_value, row.version))
        self._observer.update(seen)
        return True

    async def declare_dead(self) -> None:
        """Remove the members whose leases expired before this one's eyes."""
        for seen in self._observer.expired_members():
            member = seen.row.member
            if member == self._identity.member:
                continue
            transaction = Transaction(
                writes=(
                    Write(member_key(member), None),
                    Write(liveness_key(member), None),
                ),
                conditions=(Condition(member_key(member), seen.version),),
            )
            outcome = await self._table.transact(transaction)
            if isinstance(outcome, Ok):
                self._counters.add("membership.declared_dead")
                log_message("member_declared_dead", member=member)

    async def leave(self) -> None:
        """Remove this member's rows after everything was handed over."""
        member = self._identity.member
        transaction = Transaction(
            writes=(
                Write(member_key(member), None),
                Write(liveness_key(member), None),
            ),
            conditions=(Condition(liveness_key(member), self._identity.alive_version),),
        )
        await self._table.transact(transaction)
        self._identity.alive_version = 0

    async def _is_dead(self) -> bool:
        key = liveness_key(self._identity.member)
        found = await self._table.read(key)
        if isinstance(found, Err):
            return False
        row = found.ok_value
        return row is None or row.version != self._identity.alive_version
