"""Reads worker registrations and the operator's configuration from the store."""

from __future__ import annotations

from attrs import evolve
from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.decision.workflow.domain_drains import DrainReading
from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.platform.documents import (
    CONFIGURATION_KEY,
    DRAIN_END,
    DRAIN_PREFIX,
    OPERATOR_TABLE,
    WORKERS_TABLE,
    decode_configuration,
    decode_drain,
    decode_worker,
)
from fuchsiadale.ports.configuration_source import (
    ConfigurationReading,
    ConfigurationSource,
)
from fuchsiadale.ports.rows import RowStore, StoreFailure, TableRow
from fuchsiadale.ports.worker_list import WorkerList


class PlatformWorkerList(WorkerList):
    """Reads the registrations that workers keep in the store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store

    async def read(self) -> Result[tuple[WorkerEntry, ...], StoreFailure]:
        """Return all valid registrations."""
        entries: list[WorkerEntry] = []
        start = ""
        while True:
            page = await self._store.read(WORKERS_TABLE, start)
            if isinstance(page, Err):
                return page
            rows = page.ok_value.rows
            decoded = (decode_worker(row.key, row.value) for row in rows)
            entries.extend(entry for entry in decoded if entry is not None)
            if page.ok_value.next_start is None:
                return Ok(tuple(entries))
            start = page.ok_value.next_start


class PlatformConfigurationSource(ConfigurationSource):
    """Reads and watches the configuration that the operator keeps in the store.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    reads_drains : bool, default=False
        Whether to read the operator's requests to drain failure domains, too.
    """

    def __init__(self, store: RowStore, reads_drains: bool = False) -> None:
        self._store = store
        self._reads_drains = reads_drains

    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration in force and the position to watch from."""
        if not self._reads_drains:
            page = await self._store.read(OPERATOR_TABLE, CONFIGURATION_KEY, 1)
            return page.map(lambda result: _decode_reading(result.rows, result.version))
        rows: list[TableRow] = []
        start: str | None = CONFIGURATION_KEY
        position: int | None = None
        is_whole = True
        while start is not None and start < DRAIN_END:
            page = await self._store.read(OPERATOR_TABLE, start)
            if isinstance(page, Err):
                return page
            result = page.ok_value
            rows.extend(result.rows)
            is_whole &= result.is_complete
            # The watch returns what has changed since the first page was read.
            position = result.version if position is None else position
            start = result.next_start
        assert position is not None
        reading = _decode_reading(tuple(rows), position)
        drains = _decode_drains(tuple(rows), position, is_whole)
        return Ok(evolve(reading, drains=drains))

    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Wait for a newer configuration; the store waits at most `wait_s` seconds."""
        changes = await self._store.watch(OPERATOR_TABLE, position, wait_s)
        if isinstance(changes, Err):
            return changes
        rows, version = changes.ok_value.rows, changes.ok_value.version
        reading = _decode_reading(rows, version)
        if self._reads_drains:
            reading = evolve(reading, drains=_decode_drains(rows, version))
        return Ok(reading)


def _decode_drains(
    rows: tuple[TableRow, ...], position: int, is_whole: bool = False
) -> DrainReading:
    drains = (row for row in rows if row.key.startswith(DRAIN_PREFIX))
    return DrainReading(tuple(map(decode_drain, drains)), position, is_whole)


def _decode_reading(rows: tuple[TableRow, ...], position: int) -> ConfigurationReading:
    configuration = None
    is_unreadable = False
    document_bytes = 0
    for row in rows:
        if row.key != CONFIGURATION_KEY or row.is_deleted:
            continue
        document_bytes = len(row.value)
        decoded = decode_configuration(row.value)
        is_unreadable = isinstance(decoded, Err)
        if isinstance(decoded, Err):
            log_message("configuration_unreadable", problem=decoded.err_value)
        else:
            configuration = decoded.ok_value
    return ConfigurationReading(
        configuration, position, is_unreadable, document_bytes=document_bytes
    )
