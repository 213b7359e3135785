"""How long an owner's row must stay unchanged before a peer replaces the owner."""

SILENT_OWNER_TIMEOUT_S = 1.0
"""Seconds without a renewal after which an owner that does not answer is replaced.

An owner renews twice in this time.
"""

REFUSING_OWNER_TIMEOUT_S = 0.5
"""Like `SILENT_OWNER_TIMEOUT_S`, for an owner at whose address nothing listens.

An owner renews once in this time.
"""

STALE_OWNER_TIMEOUT_S = 0.9
"""Like `SILENT_OWNER_TIMEOUT_S`, for an owner that reports that it does not renew.

Such an owner reports an old renewal, or that it no longer owns the cell. An owner
renews once in this time, even if it waits in vain for the answers.
"""

CANNOT_RENEW_TIMEOUT_S = 0.35
"""Like `SILENT_OWNER_TIMEOUT_S`, for an owner that reports failing transactions.

Such an owner makes two attempts to renew in this time.
"""
