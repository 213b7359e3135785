"""Polls the store for the configuration, applies newer versions and changes it."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Sequence

from attrs import evolve
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.codec import decode, encode
from fuchsiadale.config.documents import SourceFile
from fuchsiadale.config.folder import find_forbidden_changes, read_configuration
from fuchsiadale.config.model import (
    ConfigDocument,
    Configuration,
    KeyRecord,
    NewKey,
    generate_key,
)
from fuchsiadale.decision.clock import Clock
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.freshness import ConfigFreshness
from fuchsiadale.decision.rows import CONFIG_HEAD_KEY, ConfigHead, config_version_key
from fuchsiadale.metrics import Counters
from fuchsiadale.ports.objects import ObjectStore
from fuchsiadale.ports.table import (
    ABSENT_VERSION,
    Condition,
    TableFailure,
    TableService,
    Transaction,
    Write,
)

# Seconds between two polls of the configuration's version.
CONFIG_POLL_PERIOD_S = 1.0

_EMPTY_DOCUMENT = ConfigDocument(0, Configuration())


class ConfigDriver:
    """Holds the configuration in force, keeps it current and changes it.

    A document holds the configuration, the keys of the teams and the failure domains
    that are drained. The object store holds
    each document under a name of its own. The table's head row holds the version in
    force and the name of its document, and changes only by compare-and-swap.

    Parameters
    ----------
    table : TableService
        Holds the head row and a row for each version.
    objects : ObjectStore
        Holds the documents.
    clock : Clock
        Measures the age of the configuration.
    counters : Counters
        Counts applied versions and failed reads.
    on_applied : callable
        Called with each newer document after it was put in force.

    Attributes
    ----------
    freshness : ConfigFreshness
        Tracks when the version in force was last confirmed.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        counters: Counters,
        on_applied: Callable[[ConfigDocument], None],
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._counters = counters
        self._on_applied = on_applied
        self._document = _EMPTY_DOCUMENT
        self.freshness = ConfigFreshness(clock)

    @property
    def document(self) -> ConfigDocument:
        """The document in force; an empty one of version 0 before the first."""
        return self._document

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first."""
        return self._document.configuration if self._document.version else None

    async def run(self) -> None:
        """Poll the store until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(CONFIG_POLL_PERIOD_S)

    async def poll(self) -> None:
        """Read the version in force from the store and apply it if it is newer."""
        sent_s = self._clock.now()
        head = await self._read_head()
        if isinstance(head, Err):
            self._counters.add("config.store_unreachable")
            return
        if head.ok_value is None:
            return
        if head.ok_value.version > self._document.version:
            await self._fetch_and_apply(head.ok_value)
        self.freshness.record_store_answer(head.ok_value.version, sent_s)

    def apply(self, document: ConfigDocument) -> None:
        """Put a document in force if it is newer than the one in force."""
        if not self.freshness.apply(document.version):
            return
        self._document = document
        self._counters.add("config.applied")
        log_message("config_applied", version=document.version)
        self._on_applied(document)

    async def replace_from_files(
        self, files: Sequence[SourceFile], base_version: int | None
    ) -> Result[ConfigDocument, Refusal]:
        """Replace the configuration by that of an operator's files; keys are kept.

        Parameters
        ----------
        files : sequence of SourceFile
            The files, in the order of their names.
        base_version : int or None
            The version that the operator's change is based on; None for any version.

        Returns
        -------
        Result
            The document now in force, or a refusal: ``CONFIG_INVALID`` with every
            problem of the files or, if they have none, of the change;
            ``VERSION_CONFLICT`` if another version is in force; ``STORE_UNAVAILABLE``
            if nothing was changed; ``OUTCOME_UNKNOWN`` if the change may be stored.
        """
        checked = read_configuration(files)
        if isinstance(checked, Err):
            lines = "\n".join(str(problem) for problem in checked.err_value)
            return Err(Refusal(ErrorKind.CONFIG_INVALID, lines))
        current = await self._fetch_latest(base_version)
        if isinstance(current, Err):
            return current
        document = current.ok_value
        messages = find_forbidden_changes(document.configuration, checked.ok_value)
        removed_teams = {
            record.team
            for record in document.keys.values()
            if record.team not in checked.ok_value.teams
        }
        messages.extend(
            f"teams.{team}: the team still has keys; withdraw them before removing it"
            for team in sorted(removed_teams)
        )
        if messages:
            return Err(Refusal(ErrorKind.CONFIG_INVALID, "\n".join(messages)))
        return await self._commit(evolve(document, configuration=checked.ok_value))

    async def create_key(self, team: str) -> Result[NewKey, Refusal]:
        """Create a key for a team; only the key's digest is stored, not its text."""
        current = await self._fetch_latest(None)
        if isinstance(current, Err):
            return current
        document = current.ok_value
        if team not in document.configuration.teams:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no team {team!r}"))
        key = generate_key(team)
        keys = {**document.keys, key.key_id: key.record}
        committed = await self._commit(evolve(document, keys=keys))
        return committed.map(lambda _: key)

    async def withdraw_key(self, key_id: str) -> Result[ConfigDocument, Refusal]:
        """Remove a key from the configuration."""
        current = await self._fetch_latest(None)
        if isinstance(current, Err):
            return current
        document = current.ok_value
        if key_id not in document.keys:
            return Err(Refusal(ErrorKind.NOT_FOUND, f"there is no key {key_id!r}"))
        keys: dict[str, KeyRecord] = {
            name: record for name, record in document.keys.items() if name != key_id
        }
        return await self._commit(evolve(document, keys=keys))

    async def drain_domain(self, name: str) -> Result[ConfigDocument, Refusal]:
        """Let no task start in a failure domain until `restore_domain` is called.

        Nothing changes if the domain is drained already.
        """
        current = await self._fetch_latest(None)
        if isinstance(current, Err):
            return current
        document = current.ok_value
        if name in document.drained_domains:
            return Ok(document)
        domains = tuple(sorted((*document.drained_domains, name)))
        return await self._commit(evolve(document, drained_domains=domains))

    async def restore_domain(self, name: str) -> Result[ConfigDocument, Refusal]:
        """Let tasks start in a drained failure domain again."""
        current = await self._fetch_latest(None)
        if isinstance(current, Err):
            return current
        document = current.ok_value
        if name not in document.drained_domains:
            message = f"the failure domain {name!r} is not drained"
            return Err(Refusal(ErrorKind.NOT_FOUND, message))
        domains = tuple(item for item in document.drained_domains if item != name)
        return await self._commit(evolve(document, drained_domains=domains))

    async def _fetch_latest(
        self, base_version: int | None
    ) -> Result[ConfigDocument, Refusal]:
        """Put the newest stored document in force and return it.

        Refuses if `base_version` is given and is not the version of the document.
        """
        head = await self._read_head()
        if isinstance(head, Err):
            return Err(_store_unavailable())
        if head.ok_value is not None:
            await self._fetch_and_apply(head.ok_value)
            if self._document.version < head.ok_value.version:
                return Err(_store_unavailable())
        if base_version is not None and base_version != self._document.version:
            return Err(_version_conflict(self._document.version))
        return Ok(self._document)

    async def _commit(self, changed: ConfigDocument) -> Result[ConfigDocument, Refusal]:
        """Store a changed document as the next version, then put it in force here."""
        version = changed.version + 1
        document = evolve(changed, version=version)
        name = f"config/{version}-{uuid.uuid4().hex}"
        stored = await self._objects.put(name, encode(document))
        if isinstance(stored, Err):
            return Err(_store_unavailable())
        head_row = await self._table.read(CONFIG_HEAD_KEY)
        if isinstance(head_row, Err):
            return Err(_store_unavailable())
        stored_row = head_row.ok_value
        current_head = (
            _decode_head(stored_row.value) if stored_row is not None else None
        )
        if (current_head.version if current_head is not None else 0) != changed.version:
            return Err(
                _version_conflict(
                    current_head.version if current_head is not None else 0
                )
            )
        transaction = Transaction(
            writes=(
                Write(config_version_key(version), name.encode()),
                Write(CONFIG_HEAD_KEY, encode(ConfigHead(version, name))),
            ),
            conditions=(
                Condition(
                    CONFIG_HEAD_KEY,
                    stored_row.version if stored_row else ABSENT_VERSION,
                ),
                Condition(config_version_key(version), ABSENT_VERSION),
            ),
        )
        outcome = await self._table.transact(transaction)
        if isinstance(outcome, Err):
            resolution = await self._resolve_failed_commit(
                transaction, outcome.err_value, version
            )
            if isinstance(resolution, Err):
                return resolution
        self.apply(document)
        return Ok(document)

    async def _resolve_failed_commit(
        self, transaction: Transaction, failure: TableFailure, version: int
    ) -> Result[None, Refusal]:
        """Determine whether a transaction that returned a failure was committed.

        The row of a version is never changed once it is written. So its nonce shows
        which transaction made the version, no matter how much later it is read.
        """
        if failure is TableFailure.UNAVAILABLE:
            return Err(_store_unavailable())
        found = await self._table.read(config_version_key(version))
        if isinstance(found, Err):
            message = (
                "the store did not confirm the change; compare `config show` with"
                f" version {version} before trying again"
            )
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, message))
        row = found.ok_value
        if row is not None and row.nonce == transaction.nonce:
            return Ok(None)
        return Err(
            _version_conflict(version) if row is not None else _store_unavailable()
        )

    async def _read_head(self) -> Result[ConfigHead | None, TableFailure]:
        row = await self._table.read(CONFIG_HEAD_KEY)
        if isinstance(row, Err):
            return row
        if row.ok_value is None:
            return Ok(None)
        return Ok(_decode_head(row.ok_value.value))

    async def _fetch_and_apply(self, head: ConfigHead) -> None:
        if head.version <= self._document.version:
            return
        body = await self._objects.get(head.object_name)
        if isinstance(body, Err):
            self._counters.add("config.fetch_failed")
            return
        document = decode(body.ok_value, ConfigDocument)
        if isinstance(document, Ok):
            self.apply(document.ok_value)


def _decode_head(value: bytes) -> ConfigHead | None:
    decoded = decode(value, ConfigHead)
    return decoded.ok_value if isinstance(decoded, Ok) else None


def _store_unavailable() -> Refusal:
    message = (
        "the store did not return or accept the configuration; nothing was changed"
    )
    return Refusal(ErrorKind.STORE_UNAVAILABLE, message)


def _version_conflict(version: int) -> Refusal:
    message = f"another change came first; version {version} is in force"
    return Refusal(ErrorKind.VERSION_CONFLICT, message)
