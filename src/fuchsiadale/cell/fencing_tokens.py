"""Issues the fencing tokens of an owner's orders to workers."""

from __future__ import annotations

TOKENS_PER_EPOCH = 1_000_000
"""Tokens reserved per epoch, so that a later owner's are always higher."""


class FencingTokens:
    """Issues tokens that rise within an epoch.

    A worker obeys no order with a lower token than one that it has seen. Once it has
    seen a newer token, it thus refuses orders that were sent before and arrive late.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    """

    def __init__(self, epoch: int) -> None:
        self._newest = epoch * TOKENS_PER_EPOCH
        self._last = self._newest + TOKENS_PER_EPOCH - 1

    @property
    def newest(self) -> int:
        """The token that was issued last."""
        return self._newest

    def issue(self) -> int:
        """Return a token that is higher than all before, while there is one."""
        self._newest = min(self._newest + 1, self._last)
        return self._newest
