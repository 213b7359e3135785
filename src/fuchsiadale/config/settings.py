"""Settings of an entry process and their reading from a YAML file."""

from __future__ import annotations

from pathlib import Path

from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.config.documents import Location, Problem, SourceFile, parse_yaml
from fuchsiadale.config.reader import MappingReader

DRAIN_LIMIT_DEFAULT_S = 60.0
"""Default of `Settings.drain_limit_s`, in seconds."""

DRAIN_NOTICE_DEFAULT_S = 2.0
"""Default of `Settings.drain_notice_s`, in seconds."""


@frozen
class Address:
    """IP address and port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"


@frozen
class Settings:
    """Settings of one entry process.

    Attributes
    ----------
    host : str
        Name of the entry host.
    region : str
        Region of the host.
    failure_domain : str
        Failure domain of the host.
    callers : Address
        Address on which the process listens for callers, operators and health checks.
    peers : Address
        Address on which the process listens for its peers; they connect to the same
        address.
    platform_url : str
        Base URL of the platform's services.
    statsd : Address or None
        Address of the statsd server that receives the counters; None to send none.
    admin_key_sha256 : tuple of str
        SHA-256 digests of the operators' keys, in hexadecimal digits.
    drain_notice_s : float
        Seconds for which a draining process reports that it is not ready, so that the
        load balancer sends callers elsewhere, before it refuses new work.
    drain_limit_s : float
        Longest duration of a drain, in seconds; the process then stops in any case.
    """

    host: str
    region: str
    failure_domain: str
    callers: Address
    peers: Address
    platform_url: str
    statsd: Address | None = None
    admin_key_sha256: tuple[str, ...] = ()
    drain_notice_s: float = DRAIN_NOTICE_DEFAULT_S
    drain_limit_s: float = DRAIN_LIMIT_DEFAULT_S


def read_settings_file(path: Path) -> Result[Settings, list[Problem]]:
    """Return the settings in a file, or all problems found."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(Location(str(path), 1), "", f"cannot be read: {error}")])
    return read_settings(SourceFile(path.name, text))


def read_settings(source: SourceFile) -> Result[Settings, list[Problem]]:
    """Return the settings in a YAML document, or all problems found."""
    parsed = parse_yaml(source)
    if isinstance(parsed, Err):
        return parsed
    problems: list[Problem] = []
    reader = MappingReader(parsed.ok_value, problems)
    settings = Settings(
        host=reader.read_name("host"),
        region=reader.read_name("region", "local"),
        failure_domain=reader.read_name("failure_domain"),
        callers=_read_address(reader, "callers"),
        peers=_read_address(reader, "peers"),
        platform_url=reader.read_text("platform_url"),
        statsd=_read_optional_address(reader, "statsd"),
        admin_key_sha256=tuple(reader.read_text_list("admin_key_sha256")),
        drain_notice_s=reader.read_number(
            "drain_notice_s", DRAIN_NOTICE_DEFAULT_S, 0.0, 60.0
        ),
        drain_limit_s=reader.read_number(
            "drain_limit_s", DRAIN_LIMIT_DEFAULT_S, 1.0, 3600.0
        ),
    )
    if settings.platform_url and not settings.platform_url.startswith("http"):
        reader.add_problem("must begin with http:// or https://", "platform_url")
    reader.report_unknown_fields()
    return Err(sorted(problems)) if problems else Ok(settings)


def _read_address(reader: MappingReader, name: str) -> Address:
    text = reader.read_text(name)
    ip, separator, port = text.rpartition(":")
    if not text:
        return Address("", 0)
    if not separator or not port.isdigit() or int(port) > 65535:
        reader.add_problem("must be <ip>:<port>", name)
        return Address("", 0)
    return Address(ip, int(port))


def _read_optional_address(reader: MappingReader, name: str) -> Address | None:
    if name not in (reader.node.fields or {}):
        reader.read_text(name, "")
        return None
    return _read_address(reader, name)
