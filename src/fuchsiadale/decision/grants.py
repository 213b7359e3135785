"""Fleet-wide resource limits of teams, divided into grants to partitions.

The row ``team/<name>`` holds a grant for each partition. An owner runs the tasks of a
team only within the grant of its partition, and the row changes only by
compare-and-swap. So the resources that a team uses in the whole fleet never exceed the
sum of its grants.
"""

from __future__ import annotations

from attrs import astuple, evolve, field, frozen
from result import Err, Ok, Result

from fuchsiadale.decision.resources import NO_RESOURCES, Resources

# Raising a grant adds a chunk, the limit divided by this number, beyond what is wanted,
# so that a busy partition writes the row less often.
GRANT_CHUNKS_PER_LIMIT = 16


@frozen
class TeamGrants:
    """The row that holds the limit and the grants of a team.

    Attributes
    ----------
    limit : Resources
        The limit of the team; ``slots`` limits the number of running tasks.
    limit_version : int
        Version of the configuration that set the limit.
    grants : dict of str to Resources
        The resources that the team may use in each partition.
    ceilings : dict of str to Resources
        The amount to which a partition must reduce its grant after the limit was
        lowered; holds only partitions that have not done so yet.
    """

    limit: Resources
    limit_version: int
    grants: dict[str, Resources] = field(factory=dict)
    ceilings: dict[str, Resources] = field(factory=dict)

    @property
    def total_granted(self) -> Resources:
        """The sum of the grants of all partitions."""
        total = NO_RESOURCES
        for grant in self.grants.values():
            total = total + grant
        return total


class StaleLimit:
    """The error for a row whose limit is from a newer configuration."""


def apply_limit(
    row: TeamGrants, limit: Resources, version: int
) -> Result[TeamGrants, StaleLimit]:
    """Set the limit of a row to that of a configuration.

    If the limit is below the sum of the grants, each partition gets a ceiling in
    proportion to its grant. Its owner reduces the grant to the ceiling by
    `lower_grant`. If the version or the limit has not changed, earlier ceilings stay;
    otherwise they are replaced.

    Parameters
    ----------
    row : TeamGrants
        The row as read from the table.
    limit : Resources
        The limit of the team in the configuration.
    version : int
        Version of the configuration.

    Returns
    -------
    Result
        The row to write, or `StaleLimit` if the row holds a newer version.
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
            ceilings[partition] = grant.scaled_by_ratio(allowed, granted)
    return Ok(
        TeamGrants(
            limit=limit,
            limit_version=version,
            grants=row.grants,
            ceilings=ceilings,
        )
    )


def raise_grant(row: TeamGrants, partition: str, wanted: Resources) -> TeamGrants:
    """Raise the grant of a partition towards `wanted`.

    The limit of the team and the ceiling of the partition bound the grant.

    A resource of which more is wanted than the grant holds is raised by a chunk more
    than is wanted if so much is available, so that a busy partition does not have to
    write the row at every start. The other resources stay as they are.
    """
    current = row.grants.get(partition, NO_RESOURCES)
    if wanted.fits_in(current):
        return row
    available = (row.limit - row.total_granted).maximum(NO_RESOURCES)
    increased_grant = Resources(
        *map(
            _raise_amount,
            astuple(current),
            astuple(wanted),
            astuple(row.limit),
            astuple(available),
        )
    )
    ceiling = row.ceilings.get(partition)
    if ceiling is not None:
        increased_grant = increased_grant.minimum(current.maximum(ceiling))
    return evolve(row, grants={**row.grants, partition: increased_grant})


def _raise_amount(current: int, wanted: int, limit: int, available: int) -> int:
    """Return the granted amount of one resource after raising it towards `wanted`."""
    if wanted <= current:
        return current
    chunk = limit // GRANT_CHUNKS_PER_LIMIT
    return current + min(wanted + chunk - current, available)


def lower_grant(row: TeamGrants, partition: str, max_grant: Resources) -> TeamGrants:
    """Lower the grant of a partition to at most `max_grant`.

    The ceiling of the partition is removed once the grant is within it.
    """
    current = row.grants.get(partition, NO_RESOURCES)
    new_grant = current.minimum(max_grant)
    ceilings = dict(row.ceilings)
    ceiling = ceilings.get(partition)
    if ceiling is not None and new_grant.fits_in(ceiling):
        del ceilings[partition]
    grants = {**row.grants, partition: new_grant}
    if new_grant == NO_RESOURCES:
        del grants[partition]
    return evolve(row, grants=grants, ceilings=ceilings)
