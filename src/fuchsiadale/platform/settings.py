"""Settings that the platform writes for a process."""

from __future__ import annotations

import os
from pathlib import Path

from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.cell.terms import CellTerms

SETTINGS_PATH_VARIABLE = "FUCHSIADALE_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/fuchsiadale/boot.conf"
MS_PER_S = 1000.0


@frozen
class CellSettings:
    """What a process of a cell learns from the platform.

    Attributes
    ----------
    node : str
        Name of the machine.
    ip : str
        Its address.
    callers_address : str
        ``ip:port`` for callers.
    readiness_address : str
        ``ip:port`` for the platform's readiness checks.
    peer_port : int
        Port for calls between the cell's processes.
    store_address : str
        ``ip:port`` of the platform's store.
    advice_address : str
        ``ip:port`` of the advice service; empty if there is none.
    is_first_start : bool
        Whether the whole system starts for the first time.
    bounds : CellTerms
        The deployment's bounds.
    """

    node: str
    ip: str
    callers_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    advice_address: str
    is_first_start: bool
    bounds: CellTerms


def get_settings_path() -> Path:
    """Return where the platform writes the settings."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def read_cell_settings(path: Path) -> Result[CellSettings, str]:
    """Return the settings in a file, or what is wrong with them."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    try:
        return Ok(_decode(fields))
    except KeyError as error:
        return Err(f"{path}: {error.args[0]} is missing")
    except ValueError as error:
        return Err(f"{path}: {error}")


def _decode(fields: dict[str, str]) -> CellSettings:
    return CellSettings(
        node=fields["node_name"],
        ip=fields["ip"],
        callers_address=fields["listen.front"],
        readiness_address=fields["listen.ready"],
        peer_port=int(fields["internal_port_range"].split(",")[0]),
        store_address=fields["platform.address"],
        advice_address=fields.get("advice", ""),
        is_first_start=fields.get("is_first_start") == "true",
        bounds=CellTerms(
            max_lease_s=_seconds(fields, "bounds.hold_max_ms", 6000.0),
            revocation_s=_seconds(fields, "bounds.revoke_ms", 5000.0),
            status_retention_s=float(fields.get("bounds.status_s", "120")),
            shutdown_grace_s=float(fields.get("bounds.grace_s", "6")),
        ),
    )


def _seconds(fields: dict[str, str], name: str, default_ms: float) -> float:
    return float(fields.get(name, default_ms)) / MS_PER_S
