"""Settings that the platform writes to a file for each process of a cell."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.cell.time_bounds import TimeBounds
from fuchsiadale.decision.succession import compute_fitness
from fuchsiadale.decision.workflow.hold_back import PastUseSettings

SETTINGS_PATH_VARIABLE = "FUCHSIADALE_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/fuchsiadale/boot.conf"
MS_PER_S = 1000.0

HALF_LIFE_VARIABLE = "FUCHSIADALE_PAST_USE_HALF_LIFE_S"
MAX_HOLD_VARIABLE = "FUCHSIADALE_PAST_USE_MAX_HOLD_S"

DEFAULT_LINK_MBPS = "1000"
"""Bandwidth of a machine's link in Mbit/s if the settings do not tell it."""


@frozen
class CellSettings:
    """Settings of one process of a cell.

    Attributes
    ----------
    node : str
        Name of the machine that the process runs on.
    ip : str
        IP address of the machine.
    callers_address : str
        ``ip:port`` on which the process listens for callers.
    readiness_address : str
        ``ip:port`` on which the process listens for the platform's readiness checks.
    peer_port : int
        Port on which the process listens for the other processes of the cell.
    store_address : str
        ``ip:port`` of the platform's store.
    advice_address : str
        ``ip:port`` of the advice service; empty if there is none.
    is_first_start : bool
        Whether this is the first start of the whole system.
    fitness : float
        How well the machine suits an owner; see the module `decision.succession`.
    bounds : TimeBounds
        Time bounds that the deployment sets: longest lease, key revocation, status
        retention, shutdown grace, applying a configuration and draining a failure
        domain; and past use, which the deploy file sets.
    """

    node: str
    ip: str
    callers_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    advice_address: str
    is_first_start: bool
    fitness: float
    bounds: TimeBounds


def get_settings_path() -> Path:
    """Return the path of the file to which the platform writes the settings."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def read_cell_settings(path: Path) -> Result[CellSettings, str]:
    """Return the settings in a file, or why they cannot be used."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err(f"{path}: the file cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return Err(f"{path}: the file is not UTF-8 text")
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    try:
        return Ok(_decode(fields, os.environ))
    except KeyError as error:
        return Err(f"{path}: the setting {error.args[0]} is missing")
    except ValueError as error:
        return Err(f"{path}: a numeric setting is invalid: {error}")


def _decode(fields: Mapping[str, str], environment: Mapping[str, str]) -> CellSettings:
    return CellSettings(
        node=fields["node_name"],
        ip=fields["ip"],
        callers_address=fields["listen.front"],
        readiness_address=fields["listen.ready"],
        peer_port=int(fields["internal_port_range"].split(",")[0]),
        store_address=fields["platform.address"],
        advice_address=fields.get("advice", ""),
        is_first_start=fields.get("is_first_start") == "true",
        fitness=compute_fitness(
            float(fields.get("limits.cpu_share", "1")),
            float(fields.get("limits.cores", "1")),
            float(fields.get("limits.link_mbps", DEFAULT_LINK_MBPS)),
        ),
        bounds=TimeBounds(
            max_lease_s=_read_seconds(fields, "bounds.hold_max_ms", 6000.0),
            key_revocation_s=_read_seconds(fields, "bounds.revoke_ms", 5000.0),
            status_retention_s=float(fields.get("bounds.status_s", "120")),
            shutdown_grace_s=float(fields.get("bounds.grace_s", "6")),
            configuration_s=_read_seconds(fields, "bounds.config_apply_ms", 2000.0),
            past_use=_read_past_use(environment),
            drain_s=_read_drain_bound(fields),
        ),
    )


def _read_past_use(environment: Mapping[str, str]) -> PastUseSettings:
    try:
        return PastUseSettings(
            float(environment.get(HALF_LIFE_VARIABLE, "0")),
            float(environment.get(MAX_HOLD_VARIABLE, "0")),
        )
    except ValueError as error:
        names = f"{HALF_LIFE_VARIABLE} or {MAX_HOLD_VARIABLE}"
        raise ValueError(f"environment variable {names}: {error}") from error


def _read_drain_bound(fields: Mapping[str, str]) -> float | None:
    name = "bounds.evacuation_ms"
    if name not in fields:
        return None
    bound_s = _read_seconds(fields, name, 0.0)
    if not bound_s > 0.0:
        raise ValueError(f"{name} must be above 0")
    return bound_s


def _read_seconds(fields: Mapping[str, str], name: str, default_ms: float) -> float:
    return float(fields.get(name, default_ms)) / MS_PER_S
