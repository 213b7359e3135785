"""Settings of one entry process."""

from __future__ import annotations

from pathlib import Path

from attrs import frozen
from result import Err, Ok, Result

from fuchsiadale.config.documents import Location, Problem, SourceFile, parse_yaml
from fuchsiadale.config.reader import MappingReader

DRAIN_LIMIT_DEFAULT_S = 60.0
DRAIN_NOTICE_DEFAULT_S = 2.0


@frozen
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"


@frozen
class Settings:
    """What an entry process learns from its settings file.

    Attributes
    ----------
    host : str
        Name of the entry host.
    region : str
        Its region.
    failure_domain : str
        Its failure domain.
    callers : Address
        Where it listens for callers, operators and health checks.
    peers : Address
        Where it listens for its peers, and where they reach it.
    platform_url : str
        Where the platform listens.
    statsd : Address or None
        Where counters are sent; nowhere if None.
    admin_key_sha256 : tuple of str
        Digests of the operators' keys.
    drain_notice_s : float
        Seconds between not being ready and refusing connections.
    drain_limit_s : float
        Seconds after which a planned stop ends in any case.
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
    """Return the settings in a file, or everything that is wrong with them."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(Location(str(path), 1), "", f"cannot be read: {error}")])
    return read_settings(SourceFile(path.name, text))


def read_settings(source: SourceFile) -> Result[Settings, list[Problem]]:
    """Return the settings in a document, or everything that is wrong with them."""
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
