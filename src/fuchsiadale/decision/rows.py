"""Rows of the table that entry hosts share, and the keys of these rows."""

from __future__ import annotations

from attrs import field, frozen

from fuchsiadale.decision.events import JournalEvent

MEMBER_PREFIX = "member/"
LIVENESS_PREFIX = "alive/"
PARTITION_PREFIX = "partition/"
JOURNAL_PREFIX = "journal/"
JOURNAL_MARKER_PREFIX = "stream/"
TEAM_GRANTS_PREFIX = "team/"
USE_PREFIX = "use/"
EPOCH_KEY = "epoch"
CONFIG_HEAD_KEY = "config/head"
CONFIG_VERSION_PREFIX = "config/version/"


@frozen
class MemberRow:
    """The row of a running entry process.

    The process renews the row; the renewals are its lease on all partitions that it
    owns.

    Attributes
    ----------
    member : str
        Unique name ``<host>.<random>``; every start of the process is a new member.
    host : str
        Name of the entry host.
    failure_domain : str
        The failure domain of the host.
    peer_address : str
        Address at which the process listens for its peers.
    renewals : int
        Number of renewals so far.
    draining : bool
        Whether the process is about to stop.
    """

    member: str
    host: str
    failure_domain: str
    peer_address: str
    renewals: int
    draining: bool = False


@frozen
class JournalSegment:
    """A range of rows in the journal of a member that holds events of a partition.

    Attributes
    ----------
    member : str
        Name of the member that wrote the journal.
    first : int
        Number of the first row.
    last : int or None
        Number of the last row; None if the member owns the partition, or owned it
        until it died.
    """

    member: str
    first: int
    last: int | None = None


@frozen
class PartitionRow:
    """The row that records who owns a partition and where its state is stored.

    Attributes
    ----------
    owner : str
        Name of the member that owns it; empty after a handover.
    epoch : int
        Epoch of the current owner; every change of the owner raises it.
    witnesses : tuple of str
        Names of the workers that the owner may place tasks on, or that still have its
        attempts. A majority of them must accept a new owner.
    snapshot : str
        Name of the object that holds the state before the segments; empty if there is
        none.
    segments : tuple of JournalSegment
        The journal segments that hold the events after the snapshot, in order.
    """

    owner: str
    epoch: int
    witnesses: tuple[str, ...] = ()
    snapshot: str = ""
    segments: tuple[JournalSegment, ...] = ()


@frozen
class JournalEntry:
    """Events of one partition in a row of a journal.

    Attributes
    ----------
    partition : str
        Name of the partition.
    events : list of JournalEvent
        The events in order.
    """

    partition: str
    events: list[JournalEvent]


@frozen
class JournalRow:
    """The row that one group commit of a member wrote to its journal.

    Attributes
    ----------
    entries : list of JournalEntry
        The events by partition.
    """

    entries: list[JournalEntry] = field(factory=list)


@frozen
class EpochRow:
    """The row that holds the highest epoch given to any partition so far.

    Attributes
    ----------
    epoch : int
        The epoch.
    """

    epoch: int


@frozen
class ConfigHead:
    """The row that names the configuration in force.

    Attributes
    ----------
    version : int
        Version of the configuration.
    object_name : str
        Name of the object that holds the configuration.
    """

    version: int
    object_name: str


def member_key(member: str) -> str:
    """Return the key of the row of a member."""
    return MEMBER_PREFIX + member


def liveness_key(member: str) -> str:
    """Return the key of the row that exists while a member has not been declared dead.

    The writes of a member are conditional on this row.
    """
    return LIVENESS_PREFIX + member


def journal_marker_key(member: str) -> str:
    """Return the key of the row that marks that a member has a journal."""
    return JOURNAL_MARKER_PREFIX + member


def partition_key(partition: str) -> str:
    """Return the key of the row of a partition."""
    return PARTITION_PREFIX + partition


def journal_prefix(member: str) -> str:
    """Return the common prefix of the keys of a member's journal rows."""
    return f"{JOURNAL_PREFIX}{member}/"


def journal_key(member: str, number: int) -> str:
    """Return the key of the journal row with the given number."""
    return f"{journal_prefix(member)}{number:012d}"


def journal_row_number(key: str) -> int:
    """Return the number of the journal row that has the given key."""
    return int(key.rpartition("/")[2])


def team_grants_key(team: str) -> str:
    """Return the key of the row that holds the grants of a team."""
    return TEAM_GRANTS_PREFIX + team


def use_key(partition: str) -> str:
    """Return the key of the row that holds the past use of a partition's teams."""
    return USE_PREFIX + partition


def config_version_key(version: int) -> str:
    """Return the key of the row of one configuration version."""
    return f"{CONFIG_VERSION_PREFIX}{version:012d}"
