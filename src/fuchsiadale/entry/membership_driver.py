"""Renews the lease of this member and detects expired leases of other members."""

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

RenewalCallback = Callable[[float], None]
DeclaredDeadCallback = Callable[[], Awaitable[None]]


class MembershipDriver:
    """Keeps this process a member and declares members with expired leases dead.

    A member renews its lease by writing its row again.

    Parameters
    ----------
    table : TableService
        The table that entry hosts share.
    identity : Identity
        Identity of this member.
    clock : Clock
        Clock of the process.
    counters : Counters
        Counts failed joins and renewals, losses of membership, and members that this
        one declared dead.
    on_renewed : callable
        Called after each successful join or renewal with the time at which it was sent.
    on_declared_dead : callable
        Awaited when this member was declared dead, before the process joins as a new
        member.

    Attributes
    ----------
    is_draining : bool
        Whether the process is about to stop.
    """

    def __init__(
        self,
        table: TableService,
        identity: Identity,
        clock: Clock,
        counters: Counters,
        on_renewed: RenewalCallback,
        on_declared_dead: DeclaredDeadCallback,
    ) -> None:
        self._table = table
        self._identity = identity
        self._clock = clock
        self._counters = counters
        self._on_renewed = on_renewed
        self._on_declared_dead = on_declared_dead
        self._lease_tracker = MemberLeaseTracker(clock)
        self._renewals = 0
        self._member_version = 0
        self.is_draining = False

    @property
    def members(self) -> dict[str, MemberRow]:
        """The rows of the members as last read, by member name."""
        return self._lease_tracker.members

    @property
    def has_joined(self) -> bool:
        """Whether this process has joined and has not left.

        A member that was declared dead counts as joined until it notices.
        """
        return self._identity.liveness_version > 0

    async def run(self) -> None:
        """Join and then renew the lease periodically until cancelled."""
        while True:
            if self.has_joined:
                await self.renew()
            else:
                await self.join()
            await asyncio.sleep(MEMBER_RENEWAL_INTERVAL_S)

    async def join(self) -> None:
        """Join the cluster by writing the rows of this member for the first time."""
        sent_s = self._clock.now()
        member = self._identity.member
        row = self._identity.build_row(self._renewals, self.is_draining)
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
        self._identity.liveness_version = outcome.ok_value.version
        self._on_renewed(sent_s)
        log_message("member_joined", member=member)

    async def renew(self) -> None:
        """Renew the lease of this member by writing its row again.

        The lease covers all partitions that the member owns. If the member was declared
        dead, the process joins again as a new member.
        """
        sent_s = self._clock.now()
        self._renewals += 1
        member = self._identity.member
        row = self._identity.build_row(self._renewals, self.is_draining)
        transaction = Transaction(
            writes=(Write(member_key(member), encode(row)),),
            conditions=(
                Condition(liveness_key(member), self._identity.liveness_version),
            ),
        )
        outcome = await transact_with_readback(self._table, transaction)
        if isinstance(outcome, Ok):
            self._on_renewed(sent_s)
            return
        self._counters.add(f"membership.renew.{outcome.err_value.value}")
        if (
            outcome.err_value is TableFailure.CONFLICT
            and await self._was_declared_dead()
        ):
            await self.rejoin()

    async def rejoin(self) -> None:
        """Give up the partitions of this member and join again as a new member."""
        log_message("member_lost", member=self._identity.member)
        self._counters.add("membership.lost")
        await self._on_declared_dead()
        self._identity.assign_new_member()
        await self.join()

    async def read_members(self) -> bool:
        """Read the rows of all members and return whether the table answered.

        If it did not answer, all observed leases restart, because renewals may have
        been missed.
        """
        rows = await self._table.scan(MEMBER_PREFIX)
        if isinstance(rows, Err):
            self._lease_tracker.restart_leases()
            return False
        versioned_rows: list[VersionedMemberRow] = []
        for row in rows.ok_value:
            decoded = decode(row.value, MemberRow)
            if isinstance(decoded, Ok):
                versioned_rows.append(VersionedMemberRow(decoded.ok_value, row.version))
        self._lease_tracker.update(versioned_rows)
        return True

    async def declare_expired_members_dead(self) -> None:
        """Declare members dead whose leases expired, by removing their rows.

        A row that was renewed since it was read is kept.
        """
        for expired in self._lease_tracker.expired_members():
            member = expired.row.member
            if member == self._identity.member:
                continue
            transaction = Transaction(
                writes=(
                    Write(member_key(member), None),
                    Write(liveness_key(member), None),
                ),
                conditions=(Condition(member_key(member), expired.version),),
            )
            outcome = await self._table.transact(transaction)
            if isinstance(outcome, Ok):
                self._counters.add("membership.declared_dead")
                log_message("member_declared_dead", member=member)

    async def leave(self) -> None:
        """Remove the rows of this member after its partitions were handed over."""
        member = self._identity.member
        transaction = Transaction(
            writes=(
                Write(member_key(member), None),
                Write(liveness_key(member), None),
            ),
            conditions=(
                Condition(liveness_key(member), self._identity.liveness_version),
            ),
        )
        await self._table.transact(transaction)
        self._identity.liveness_version = 0

    async def _was_declared_dead(self) -> bool:
        key = liveness_key(self._identity.member)
        found = await self._table.read(key)
        if isinstance(found, Err):
            return False
        row = found.ok_value
        return row is None or row.version != self._identity.liveness_version
