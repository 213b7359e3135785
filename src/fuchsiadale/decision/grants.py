"""Fleet-wide upper limits of teams, cut into grants of partitions.

The row ``team/<name>`` holds one grant a partition. An owner runs a team's tasks only
within its partition's grant, and the row changes only by compare-and-swap, so what a
team runs over the whole fleet never exceeds the sum of the grants.
"""

from __future__ import annotations

from attrs import evolve, field, frozen
from result import Err, Ok, Result

from fuchsiadale.decision.resources import NO_RESOURCES, Resources

GRANT_CHUNKS_PER_LIMIT = 16


@frozen
class TeamGrants:
    """The row of one team.

    Attributes
    ----------
    limit : Resources
        The team's upper limit; ``slots`` counts running tasks.
    limit_version : int
        Version of the configuration that the limit came from.
    grants : dict of str to Resources
        What each partition may run.
    ceilings : dict of str to Resources
        What each partition has to come down to after the limit was lowered.
    """

    limit: Resources
    limit_version: int
    grants: dict[str, Resources] = field(factory=dict)
    ceilings: dict[str, Resources] = field(factory=dict)

    @property
    def total_granted(self) -> Resources:
        """The sum of all grants."""
        total = NO_RESOURCES
        for grant in self.grants.values():
            total = total + grant
        return total


class StaleLimit:
    """The row was settled by a newer configuration than the caller knows."""


def apply_limit(
    row: TeamGrants, limit: Resources, version: int
) -> Result[TeamGrants, StaleLimit]:
    """Bring a row to the limit of a configuration.

    A limit below the sum of the grants gives each partition a ceiling in proportion
    to its grant; the partitions come down to it by `lower_grant`.

    Parameters
    ----------
    row : TeamGrants
        The row as read.
    limit : Resources
        The upper limit that the configuration states.
    version : int
        The configuration's version.

    Returns
    -------
    Result
        The row to write, or `StaleLimit` if the row knows a newer version.
    """
    if row.limit_version > version:
        return Err(StaleLimit())
    if row.limit_version == version or row.limit == limit:
        return Ok(evolve(row, limit_version=version))
    ceilings: dict[str, Resources] = {}
    granted = row.total_granted
    if not granted.fits_in(limit):
        allowed = granted.minimum(limit)
        for partition, grant in row.grants.items():
            ceilings[partition] = grant.scaled_down(allowed, granted)
    return Ok(
        TeamGrants(
            limit=limit,
            limit_version=version,
            grants=row.grants,
            ceilings=ceilings,
        )
    )


def raise_grant(row: TeamGrants, partition: str, wanted: Resources) -> TeamGrants:
    """Raise a partition's grant towards `wanted` as far as the limit leaves room.

    A whole chunk is taken where there is room for it, so that a busy partition does
    not write the row at every start.
    """
    held = row.grants.get(partition, NO_RESOURCES)
    chunk = Resources(
        row.limit.cpu_millis // GRANT_CHUNKS_PER_LIMIT,
        row.limit.memory_mb // GRANT_CHUNKS_PER_LIMIT,
        row.limit.accelerators // GRANT_CHUNKS_PER_LIMIT,
        row.limit.slots // GRANT_CHUNKS_PER_LIMIT,
        row.limit.connections // GRANT_CHUNKS_PER_LIMIT,
    )
    room = (row.limit - row.total_granted).maximum(NO_RESOURCES)
    target = wanted.maximum(held) + chunk
    raised = held + (target - held).minimum(room)
    ceiling = row.ceilings.get(partition)
    if ceiling is not None:
        raised = raised.minimum(held.maximum(ceiling))
    return evolve(row, grants={**row.grants, partition: raised})


def lower_grant(row: TeamGrants, partition: str, keep: Resources) -> TeamGrants:
    """Lower a partition's grant to `keep`, and drop its ceiling once it is met."""
    held = row.grants.get(partition, NO_RESOURCES)
    lowered = held.minimum(keep)
    ceilings = dict(row.ceilings)
    ceiling = ceilings.get(partition)
    if ceiling is not None and lowered.fits_in(ceiling):
        del ceilings[partition]
    grants = {**row.grants, partition: lowered}
    if lowered == NO_RESOURCES:
        del grants[partition]
    return evolve(row, grants=grants, ceilings=ceilings)
