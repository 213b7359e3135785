"""Reads worker registrations and the operator's configuration from the store."""

from __future__ import annotations

from eliot import log_message
from result import Err, Ok, Result

from fuchsiadale.decision.workflow.messages import WorkerEntry
from fuchsiadale.platform.documents import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    WORKERS_TABLE,
    decode_configuration,
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
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store

    async def read(self) -> Result[ConfigurationReading, StoreFailure]:
        """Return the configuration in force and the position to watch from."""
        page = await self._store.read(OPERATOR_TABLE, CONFIGURATION_KEY, 1)
        return page.map(lambda result: _decode_reading(result.rows, result.version))

    async def watch(
        self, position: int, wait_s: float
    ) -> Result[ConfigurationReading, StoreFailure]:
        """Wait for a newer configuration; the store waits at most `wait_s` seconds."""
        changes = await self._store.watch(OPERATOR_TABLE, position, wait_s)
        return changes.map(lambda result: _decode_reading(result.rows, result.version))


def _decode_reading(rows: tuple[TableRow, ...], position: int) -> ConfigurationReading:
    configuration = None
    is_unreadable = False
    for row in rows:
        if row.key != CONFIGURATION_KEY or row.is_deleted:
            continue
        decoded = decode_configuration(row.value)
        is_unreadable = isinstance(decoded, Err)
        if isinstance(decoded, Err):
            log_message("configuration_unreadable", problem=decoded.err_value)
        else:
            configuration = decoded.ok_value
    return ConfigurationReading(configuration, position, is_unreadable)
