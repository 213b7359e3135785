"""Configuration of teams (with shares, limits and keys), queues and pools."""

from __future__ import annotations

import hashlib
import hmac
import secrets

from attrs import field, frozen

from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.work import WorkKind

KEY_SECRET_BYTES = 24
"""Number of random bytes in the secret part of a key."""


@frozen
class TeamConfig:
    """Configuration of one team.

    Attributes
    ----------
    share : float
        Weight of the team in fair sharing, which applies when the fleet of workers is
        full.
    limit : Resources
        Resources that the team may use over the whole fleet; ``slots`` is the number
        of tasks that may run at a time.
    """

    share: float = 1.0
    limit: Resources = NO_LIMIT


@frozen
class PoolConfig:
    """Configuration of one pool of workers.

    Attributes
    ----------
    slices : int
        Number of partitions that the workers of the pool are divided into; it cannot
        change during the lifetime of the pool.
    order : OrderWeights
        Weights that determine the order in which the pool's teams are served.
    fencing : bool
        Whether the pool's backend servers refuse calls with a stale epoch.
    """

    slices: int = 1
    order: OrderWeights = OrderWeights()
    fencing: bool = True


@frozen
class QueueConfig:
    """Configuration of one queue, through which work is submitted to a pool.

    Attributes
    ----------
    pool : str
        Name of the pool that runs the queue's work.
    open : bool
        Whether the queue accepts work without a key.
    teams : tuple of str
        Names of the teams that may use the queue; empty if every team may.
    kinds : tuple of WorkKind
        Kinds of work that the queue accepts.
    urgent : bool
        Whether the queue accepts work with urgent priority.
    """

    pool: str
    open: bool = False
    teams: tuple[str, ...] = ()
    kinds: tuple[WorkKind, ...] = tuple(WorkKind)
    urgent: bool = True


@frozen
class Configuration:
    """Configuration read from the operators' folder.

    Attributes
    ----------
    teams : dict of str to TeamConfig
        Teams by name.
    pools : dict of str to PoolConfig
        Pools by name.
    queues : dict of str to QueueConfig
        Queues by name.
    """

    teams: dict[str, TeamConfig] = field(factory=dict)
    pools: dict[str, PoolConfig] = field(factory=dict)
    queues: dict[str, QueueConfig] = field(factory=dict)


@frozen
class KeyRecord:
    """Stored form of a team's key, which holds only the digest of the secret.

    Attributes
    ----------
    team : str
        Name of the team.
    sha256 : str
        SHA-256 digest of the key's secret, in hexadecimal digits.
    """

    team: str
    sha256: str


@frozen
class ConfigDocument:
    """One version of the configuration, the teams' keys and the drained domains.

    Attributes
    ----------
    version : int
        Version of the document; increases by one with every change.
    configuration : Configuration
        Configuration read from the operators' folder.
    keys : dict of str to KeyRecord
        Valid keys by id.
    drained_domains : tuple of str
        Sorted names of the failure domains in which no task may start.
    """

    version: int
    configuration: Configuration
    keys: dict[str, KeyRecord] = field(factory=dict)
    drained_domains: tuple[str, ...] = ()

    def find_team_by_key(self, key: str) -> str | None:
        """Return the team that a key belongs to, or None if the key is not valid."""
        parts = key.split("_")
        if len(parts) != 3 or parts[0] != "fd":
            return None
        record = self.keys.get(parts[1])
        digest = hash_secret(parts[2])
        expected = record.sha256 if record is not None else hash_secret("")
        is_match = hmac.compare_digest(digest, expected)
        return record.team if record is not None and is_match else None


@frozen
class NewKey:
    """New key with its secret, which is shown only once.

    Attributes
    ----------
    key_id : str
        Id of the key.
    text : str
        The whole key, ``fd_<key id>_<secret>``.
    record : KeyRecord
        Stored form of the key.
    """

    key_id: str
    text: str
    record: KeyRecord


def generate_key(team: str) -> NewKey:
    """Return a new random key for a team."""
    key_id = secrets.token_hex(6)
    secret = secrets.token_hex(KEY_SECRET_BYTES)
    record = KeyRecord(team, hash_secret(secret))
    return NewKey(key_id, f"fd_{key_id}_{secret}", record)


def hash_secret(secret: str) -> str:
    """Return the SHA-256 digest of a secret in hexadecimal digits."""
    return hashlib.sha256(secret.encode()).hexdigest()
