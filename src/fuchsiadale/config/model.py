"""The operators' configuration: teams, keys, shares, limits, queues and pools."""

from __future__ import annotations

import hashlib
import hmac
import secrets

from attrs import field, frozen

from fuchsiadale.decision.fairness import OrderWeights
from fuchsiadale.decision.resources import NO_LIMIT, Resources
from fuchsiadale.decision.work import WorkKind

KEY_SECRET_BYTES = 24


@frozen
class TeamConfig:
    """One team.

    Attributes
    ----------
    share : float
        Its weight when the fleet is full.
    limit : Resources
        What it may run over the whole fleet; ``slots`` counts tasks.
    """

    share: float = 1.0
    limit: Resources = NO_LIMIT


@frozen
class PoolConfig:
    """One pool of workers.

    Attributes
    ----------
    slices : int
        Number of partitions that its workers are cut into; fixed for its life.
    order : OrderWeights
        How its teams are ordered.
    fencing : bool
        Whether its backend servers compare epochs.
    """

    slices: int = 1
    order: OrderWeights = OrderWeights()
    fencing: bool = True


@frozen
class QueueConfig:
    """One queue, by which work enters a pool.

    Attributes
    ----------
    pool : str
        The pool that its work runs in.
    open : bool
        Whether work is taken without a key.
    teams : tuple of str
        The teams that may use it; all of them if empty.
    kinds : tuple of WorkKind
        The kinds of work that it takes.
    urgent : bool
        Whether its work may be marked urgent.
    """

    pool: str
    open: bool = False
    teams: tuple[str, ...] = ()
    kinds: tuple[WorkKind, ...] = tuple(WorkKind)
    urgent: bool = True


@frozen
class Configuration:
    """What the operators' folder says."""

    teams: dict[str, TeamConfig] = field(factory=dict)
    pools: dict[str, PoolConfig] = field(factory=dict)
    queues: dict[str, QueueConfig] = field(factory=dict)


@frozen
class KeyRecord:
    """One key of a team; only the digest of its secret is kept."""

    team: str
    sha256: str


@frozen
class ConfigDocument:
    """One version of all that operators decide.

    Attributes
    ----------
    version : int
        Grows by one with every change.
    configuration : Configuration
        What the folder says.
    keys : dict of str to KeyRecord
        The keys in force, by id.
    """

    version: int
    configuration: Configuration
    keys: dict[str, KeyRecord] = field(factory=dict)

    def find_team_by_key(self, key: str) -> str | None:
        """Return the team that a key belongs to, or None if it is not in force."""
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
    """A key as it is shown once."""

    key_id: str
    text: str
    record: KeyRecord


def generate_key(team: str) -> NewKey:
    """Return a new random key of a team."""
    key_id = secrets.token_hex(6)
    secret = secrets.token_hex(KEY_SECRET_BYTES)
    record = KeyRecord(team, hash_secret(secret))
    return NewKey(key_id, f"fd_{key_id}_{secret}", record)


def hash_secret(secret: str) -> str:
    """Return the digest by which a secret is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()
