"""Data that the processes of a cell exchange."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from fuchsiadale.decision.workflow.jobs import JobState


@frozen
class ProcessIdentity:
    """What a process of a cell tells its peers about itself.

    Attributes
    ----------
    node : str
        Name of the machine that the process runs on.
    peer_address : str
        ``ip:port`` on which the process listens for its peers.
    fitness : float
        How well the machine suits an owner; see the module `decision.succession`.
    """

    node: str
    peer_address: str
    fitness: float = 1.0


@frozen
class SyncCall:
    """A call with which a process reports itself to a peer.

    Attributes
    ----------
    identity : ProcessIdentity
        The process that calls.
    epoch : int
        Highest epoch that it knows.
    is_leaving : bool
        Whether it is stopping.
    has_resigned : bool
        Whether it has just resigned the ownership, which the receiver should acquire.
    """

    identity: ProcessIdentity
    epoch: int
    is_leaving: bool = False
    has_resigned: bool = False


@frozen
class PeerStatus:
    """Status that a process reports to its peers.

    Attributes
    ----------
    incarnation : str
        Unique id of the running process, which a restart changes.
    is_owner : bool
        Whether the process owns the cell.
    epoch : int
        Highest epoch that the process knows.
    renewed_age_s : float
        Time since the process last renewed or took the ownership, in seconds; 0 if it
        does not own the cell.
    pending : dict of str to int or None
        Number of pending jobs, by queue; a job is pending until its first run starts.
        None if the process does not own the cell or still reads the store after taking
        it over.
    cannot_renew : bool
        Whether the store has rejected every transaction of the process for some time.
    """

    incarnation: str
    is_owner: bool
    epoch: int
    renewed_age_s: float = 0.0
    pending: dict[str, int] | None = None
    cannot_renew: bool = False


class RowOutcome(Enum):
    """What is known of a row that was to be stored.

    ``STORED`` also stands for a row that was there before.
    """

    STORED = "stored"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"


@frozen
class JobView:
    """State and workspace of a job.

    Attributes
    ----------
    state : JobState
        State that callers are shown.
    workspace : str
        Workspace that submitted the job; empty if it was submitted without an API key.
    """

    state: JobState
    workspace: str


@frozen
class ConfigurationView:
    """The configuration that a process has, as it tells a peer.

    Attributes
    ----------
    version : int
        Version of the configuration.
    age_s : float
        Seconds since the process last knew that version to be the newest.
    content_bytes : int
        Size of the content that the process would pass on now; 0 if the peer has that
        version or the process passes nothing on.
    content : bytes
        The encoded and compressed configuration; empty unless the peer wants it and the
        process passes it on.
    """

    version: int
    age_s: float
    content_bytes: int = 0
    content: bytes = b""
