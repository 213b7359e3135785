"""Rows of the table by which entry hosts agree."""

from __future__ import annotations

from attrs import field, frozen

from fuchsiadale.decision.events import JournalEvent

MEMBER_PREFIX = "member/"
LIVENESS_PREFIX = "alive/"
PARTITION_PREFIX = "partition/"
JOURNAL_PREFIX = "journal/"
JOURNAL_MARKER_PREFIX = "stream/"
TEAM_GRANTS_PREFIX = "team/"
EPOCH_KEY = "epoch"
CONFIG_HEAD_KEY = "config/head"
CONFIG_VERSION_PREFIX = "config/version/"


@frozen
class MemberRow:
    """One running entry process; its renewal is the lease of all it owns.

    Attributes
    ----------
    member : str
        ``<host>.<random>``; every process start is a new member.
    host : str
        The entry host.
    failure_domain : str
        The failure domain it stands in.
    peer_address : str
        Where it listens for its peers.
    renewals : int
        Grows with every renewal.
    draining : bool
        Whether it is about to stop.
    """

    member: str
    host: str
    failure_domain: str
    peer_address: str
    renewals: int
    draining: bool = False


@frozen
class JournalSegment:
    """A part of a member's journal that holds events of a partition.

    Attributes
    ----------
    member : str
        Whose journal.
    first : int
        Number of the first row.
    last : int or None
        Number of the last row; None if the member is the owner or was until it died.
    """

    member: str
    first: int
    last: int | None = None


@frozen
class PartitionRow:
    """Who owns a partition, and where its state is recorded.

    Attributes
    ----------
    owner : str
        The owning member; empty after a hand-over.
    epoch : int
        Raised by every taking.
    witnesses : tuple of str
        The workers that the owner may place tasks on.
    snapshot : str
        Name of the object that holds the state before the segments; empty for none.
    segments : tuple of JournalSegment
        Where the events after the snapshot are recorded, in order.
    """

    owner: str
    epoch: int
    witnesses: tuple[str, ...] = ()
    snapshot: str = ""
    segments: tuple[JournalSegment, ...] = ()


@frozen
class JournalEntry:
    """Events of one partition."""

    partition: str
    events: list[JournalEvent]


@frozen
class JournalRow:
    """What one group commit of a member recorded."""

    entries: list[JournalEntry] = field(factory=list)


@frozen
class EpochRow:
    """The highest epoch that any partition was given."""

    epoch: int


@frozen
class ConfigHead:
    """The configuration in force."""

    version: int
    object_name: str


def member_key(member: str) -> str:
    """Return the key of a member's row."""
    return MEMBER_PREFIX + member


def liveness_key(member: str) -> str:
    """Return the key of the row that a member's writes depend on."""
    return LIVENESS_PREFIX + member


def journal_marker_key(member: str) -> str:
    """Return the key of the row that tells that a member has a journal."""
    return JOURNAL_MARKER_PREFIX + member


def partition_key(partition: str) -> str:
    """Return the key of a partition's row."""
    return PARTITION_PREFIX + partition


def journal_prefix(member: str) -> str:
    """Return the prefix of a member's journal."""
    return f"{JOURNAL_PREFIX}{member}/"


def journal_key(member: str, number: int) -> str:
    """Return the key of one row of a member's journal."""
    return f"{journal_prefix(member)}{number:012d}"


def journal_row_number(key: str) -> int:
    """Return the number of a journal row."""
    return int(key.rpartition("/")[2])


def team_grants_key(team: str) -> str:
    """Return the key of a team's grants."""
    return TEAM_GRANTS_PREFIX + team


def config_version_key(version: int) -> str:
    """Return the key of one version of the configuration."""
    return f"{CONFIG_VERSION_PREFIX}{version:012d}"
