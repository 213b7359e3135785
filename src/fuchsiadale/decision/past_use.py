"""Weighs what workspaces have used in the past, for the order of waiting work.

The use of a workspace, or of a team, is what its runs held, in resources times seconds,
weighed down by half each half-life. Its heaviness compares that to the mean of all,
each by its weight: 0 up to the mean, and towards 1 far beyond it. After Kay and Lauder,
"A fair share scheduler", Communications of the ACM, 1988.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import exp, expm1, inf, isfinite, log

from attrs import Factory, define, frozen

from fuchsiadale.decision.resources import NO_RESOURCES, Resources

MAX_RECORDED_WORKSPACES = 500
"""Workspaces whose use is kept in the store, so that its row stays within 64 KiB."""

ADVANCE_INTERVAL_S = 1.0
"""Seconds after which it is due to add what workspaces hold, and to compare them."""

LEAST_USE = 1.0
"""Use, of each resource in its unit times seconds, below which it is forgotten."""

_RESOURCE_NAMES = ("cpu_millis", "memory_mb", "accelerators")


@frozen
class UseRecord:
    """Use of the workspaces at a moment, for the next owner.

    Attributes
    ----------
    as_of_ms : int
        The moment on the store's clock, in milliseconds; 0 if it is not known.
    use : dict of str to list of float
        Thousandths of processor cores, MiB of memory and accelerators, each times
        seconds, by workspace.
    """

    as_of_ms: int = 0
    use: dict[str, list[float]] = Factory(dict)


@define
class PastUse:
    """Past use of workspaces.

    Parameters
    ----------
    half_life_s : float, default=0.0
        Seconds after which use counts by half; infinite to count all of it for ever, 0
        to count none.
    """

    _half_life_s: float = 0.0
    _use: dict[str, list[float]] = Factory(dict)
    _heaviness: dict[str, float] = Factory(dict)
    _total: Resources = NO_RESOURCES
    _advanced_s: float | None = None

    @property
    def half_life_s(self) -> float:
        """Seconds after which use counts by half."""
        return self._half_life_s

    @property
    def is_enabled(self) -> bool:
        """Whether past use counts."""
        return self._half_life_s > 0.0

    def change_half_life(self, half_life_s: float) -> None:
        """Let use fade at another rate from now on; at 0 all of it is dropped."""
        self._half_life_s = half_life_s
        if not self.is_enabled:
            self._use.clear()
            self._heaviness.clear()
            self._advanced_s = None

    def is_due(self, now_s: float) -> bool:
        """Tell whether `advance` should be called."""
        last_s = self._advanced_s
        has_aged = last_s is None or now_s - last_s >= ADVANCE_INTERVAL_S
        return self.is_enabled and has_aged

    def advance(
        self,
        held: Mapping[str, Resources],
        weights: Mapping[str, float],
        total: Resources,
        now_s: float,
    ) -> None:
        """Add what the workspaces have held since the last call.

        Parameters
        ----------
        held : mapping of str to Resources
            Resources that the runs of each workspace hold.
        weights : mapping of str to float
            Weight of each workspace of the configuration.
        total : Resources
            Capacity of all workers, which makes resources comparable.
        now_s : float
            The time on the loop's clock.
        """
        if not self.is_enabled:
            return
        self._total = total
        elapsed_s = 0.0 if self._advanced_s is None else now_s - self._advanced_s
        self._advanced_s = now_s
        self._decay(elapsed_s)
        gain_s = self._effective_s(elapsed_s)
        for workspace, amounts in held.items():
            use = self._use.setdefault(workspace, [0.0] * len(_RESOURCE_NAMES))
            for index, name in enumerate(_RESOURCE_NAMES):
                use[index] += gain_s * getattr(amounts, name)
        self._weigh(weights, total)

    def use_share_s(self, workspace: str, total: Resources) -> float:
        """Return for how long a workspace would have held all of its main resource."""
        use = self._use.get(workspace)
        if use is None:
            return 0.0
        capacities = (getattr(total, name) for name in _RESOURCE_NAMES)
        return max(
            amount / capacity if capacity > 0 else 0.0
            for amount, capacity in zip(use, capacities, strict=True)
        )

    def heaviness_of(self, workspace: str) -> float:
        """Return the heaviness of a workspace, from 0 to below 1."""
        return self._heaviness.get(workspace, 0.0)

    def list_heavy(self) -> Iterable[tuple[str, float]]:
        """Return the workspaces above the mean with their heaviness."""
        return self._heaviness.items()

    def restore(self, record: UseRecord, elapsed_s: float) -> int:
        """Add what an earlier owner recorded `elapsed_s` seconds ago.

        Returns
        -------
        left_out : int
            Number of entries that cannot be amounts and were left out.
        """
        if not self.is_enabled:
            return 0
        remaining = self._remaining_share(elapsed_s)
        left_out = 0
        for workspace, amounts in record.use.items():
            is_valid = len(amounts) == len(_RESOURCE_NAMES) and all(
                isfinite(amount) and amount >= 0.0 for amount in amounts
            )
            if not is_valid:
                left_out += 1
                continue
            use = self._use.setdefault(workspace, [0.0] * len(_RESOURCE_NAMES))
            for index, amount in enumerate(amounts):
                use[index] += remaining * amount
        return left_out

    def make_record(self, as_of_ms: int) -> UseRecord:
        """Return the use to record; that of the heaviest if there are very many."""
        workspaces = sorted(
            self._use,
            key=lambda name: self.use_share_s(name, self._total),
            reverse=True,
        )
        return UseRecord(
            as_of_ms,
            {
                name: [round(amount, 1) for amount in self._use[name]]
                for name in workspaces[:MAX_RECORDED_WORKSPACES]
            },
        )

    def _decay(self, elapsed_s: float) -> None:
        """Let use fade, and forget workspaces of which nothing is left."""
        remaining = self._remaining_share(elapsed_s)
        self._use = {
            name: [remaining * amount for amount in amounts]
            for name, amounts in self._use.items()
            if remaining * max(amounts) >= LEAST_USE
        }

    def _remaining_share(self, elapsed_s: float) -> float:
        """Return what is left of use after some seconds, as a share of it."""
        half_lives = max(0.0, elapsed_s) / self._half_life_s
        return exp(-log(2.0) * half_lives)

    def _effective_s(self, elapsed_s: float) -> float:
        """Return the seconds that `elapsed_s` of constant use count at their end."""
        half_life_s = self._half_life_s
        if half_life_s == inf:
            return elapsed_s
        rate = log(2.0) / half_life_s
        return -expm1(-rate * elapsed_s) / rate

    def _weigh(self, weights: Mapping[str, float], total: Resources) -> None:
        """Compare each workspace of the configuration to their mean."""
        use = {
            name: self.use_share_s(name, total)
            for name, weight in weights.items()
            if weight > 0.0
        }
        all_use = sum(use.values())
        all_weights = sum(weights[name] for name in use)
        self._heaviness = {
            name: 1.0 - weights[name] * all_use / (share_s * all_weights)
            for name, share_s in use.items()
            if share_s * all_weights > weights[name] * all_use
        }
