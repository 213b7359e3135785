"""The operators' HTTP interface."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web
from result import Err, Ok, Result

from fuchsiadale.config.documents import DocumentNode, Problem, SourceFile
from fuchsiadale.config.json_body import parse_json_object
from fuchsiadale.config.model import Configuration
from fuchsiadale.config.reader import MappingReader
from fuchsiadale.decision.errors import ErrorKind, Refusal
from fuchsiadale.decision.resources import (
    MB_PER_GB,
    MILLIS_PER_CORE,
    NO_LIMIT,
    NO_RESOURCES,
    Resources,
)
from fuchsiadale.decision.views import PartitionView
from fuchsiadale.entry.answers import json_answer, refusal_answer
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.directory import Directory
from fuchsiadale.entry.router import Router
from fuchsiadale.metrics import MemoryCounters

PREFIX = "/admin/v1"
MAX_VERSION = 1 << 40

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminApi:
    """Answers operators.

    Parameters
    ----------
    config : ConfigDriver
        The configuration.
    router : Router
        Reaches the partitions' owners.
    directory : Directory
        Members and owners.
    counters : MemoryCounters
        The counts shown.
    admin_key_sha256 : tuple of str
        Digests of the operators' keys.
    """

    def __init__(
        self,
        config: ConfigDriver,
        router: Router,
        directory: Directory,
        counters: MemoryCounters,
        admin_key_sha256: tuple[str, ...],
    ) -> None:
        self._config = config
        self._router = router
        self._directory = directory
        self._counters = counters
        self._admin_key_sha256 = admin_key_sha256

    def add_routes(self, app: web.Application) -> None:
        """Add the interface to an application."""
        app.middlewares.append(self._require_key)
        app.router.add_get(f"{PREFIX}/config", self._show_config)
        app.router.add_put(f"{PREFIX}/config", self._apply_config)
        app.router.add_post(f"{PREFIX}/keys", self._create_key)
        app.router.add_delete(f"{PREFIX}/keys/{{key_id}}", self._withdraw_key)
        app.router.add_get(f"{PREFIX}/teams/{{team}}", self._show_team)
        app.router.add_get(f"{PREFIX}/partitions", self._list_partitions)
        app.router.add_get(f"{PREFIX}/workers", self._list_workers)
        app.router.add_get(f"{PREFIX}/counters", self._show_counters)

    @web.middleware
    async def _require_key(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if not request.path.startswith(PREFIX) or self._is_operator(request):
            return await handler(request)
        message = "an operator's key is needed: Authorization: Bearer <key>"
        return refusal_answer(Refusal(ErrorKind.UNAUTHENTICATED, message))

    def _is_operator(self, request: web.Request) -> bool:
        _, _, key = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        matches = [
            hmac.compare_digest(digest, known) for known in self._admin_key_sha256
        ]
        return any(matches)

    async def _show_config(self, request: web.Request) -> web.Response:
        document = self._config.document
        keys = [
            {"key_id": key_id, "team": record.team}
            for key_id, record in sorted(document.keys.items())
        ]
        return json_answer(
            {
                "version": document.version,
                "age_s": round(self._config.freshness.age_s(), 3),
                "configuration": _shown(document.configuration),
                "keys": keys,
            }
        )

    async def _apply_config(self, request: web.Request) -> web.Response:
        reader = await _read(request)
        if isinstance(reader, Err):
            return refusal_answer(reader.err_value)
        fields, problems = reader.ok_value, reader.ok_value.problems
        base_version = None
        if fields.has("base_version"):
            base_version = fields.reader.read_integer("base_version", 0, 0, MAX_VERSION)
        files = _source_files(fields)
        fields.reader.report_unknown_fields()
        if problems:
            return refusal_answer(_malformed(problems))
        changed = await self._config.change_folder(files, base_version)
        if isinstance(changed, Err):
            return refusal_answer(changed.err_value)
        return json_answer({"version": changed.ok_value.version})

    async def _create_key(self, request: web.Request) -> web.Response:
        reader = await _read(request)
        if isinstance(reader, Err):
            return refusal_answer(reader.err_value)
        team = reader.ok_value.reader.read_name("team")
        reader.ok_value.reader.report_unknown_fields()
        if reader.ok_value.problems:
            return refusal_answer(_malformed(reader.ok_value.problems))
        key = await self._config.create_key(team)
        if isinstance(key, Err):
            return refusal_answer(key.err_value)
        shown = {"key_id": key.ok_value.key_id, "team": team, "key": key.ok_value.text}
        return json_answer(shown, 201)

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        key_id = request.match_info["key_id"]
        changed = await self._config.withdraw_key(key_id)
        if isinstance(changed, Err):
            return refusal_answer(changed.err_value)
        return json_answer({"version": changed.ok_value.version, "withdrawn": key_id})

    async def _show_team(self, request: web.Request) -> web.Response:
        name = request.match_info["team"]
        document = self._config.document
        team = document.configuration.teams.get(name)
        if team is None:
            message = f"there is no team {name!r}"
            return refusal_answer(Refusal(ErrorKind.NOT_FOUND, message))
        used = NO_RESOURCES
        granted = NO_RESOURCES
        for partition in await self._router.inspect_all():
            for view in partition.teams:
                if view.team == name:
                    used = used + view.used
                    granted = granted + (view.grant or NO_RESOURCES)
        is_limited = team.limit != NO_LIMIT
        return json_answer(
            {
                "team": name,
                "share": team.share,
                "limit": _shown_limit(team.limit),
                "granted": _shown_limit(granted, team.limit) if is_limited else None,
                "used": _shown_limit(used),
                "keys": [k for k, r in document.keys.items() if r.team == name],
            }
        )

    async def _list_partitions(self, request: web.Request) -> web.Response:
        views = {view.name: view for view in await self._router.inspect_all()}
        rows = [
            _partition_fields(name, owner.member, owner.epoch, views.get(name))
            for name, owner in sorted(self._directory.owners.items())
        ]
        return json_answer({"partitions": rows})

    async def _list_workers(self, request: web.Request) -> web.Response:
        rows = [
            {
                "worker": worker.name,
                "partition": view.name,
                "failure_domain": worker.failure_domain,
                "state": worker.state.value,
                "capacity": _shown_limit(worker.capacity),
                "free": _shown_limit(worker.free),
                "attempts": worker.attempts,
            }
            for view in await self._router.inspect_all()
            for worker in view.workers
        ]
        return json_answer({"workers": rows})

    async def _show_counters(self, request: web.Request) -> web.Response:
        return json_answer({"counters": dict(sorted(self._counters.counts.items()))})


class _Fields:
    """The fields of a body and what is wrong with them."""

    def __init__(self, document: DocumentNode) -> None:
        self.problems: list[Problem] = []
        self.reader = MappingReader(document, self.problems)

    def has(self, name: str) -> bool:
        """Tell whether a field is given."""
        return name in (self.reader.node.fields or {})


async def _read(request: web.Request) -> Result[_Fields, Refusal]:
    parsed = parse_json_object(await request.read())
    if isinstance(parsed, Err):
        return Err(_malformed(parsed.err_value))
    return Ok(_Fields(parsed.ok_value))


def _source_files(fields: _Fields) -> list[SourceFile]:
    """Return the files of a body: a mapping of names to texts."""
    inner = fields.reader.read_mapping("files")
    if inner is None:
        fields.reader.add_problem("is missing", "files")
        return []
    names = sorted(inner.node.fields or {})
    return [SourceFile(name, inner.read_text(name)) for name in names]


def _malformed(problems: list[Problem]) -> Refusal:
    lines = [f"{problem.field or 'body'}: {problem.message}" for problem in problems]
    return Refusal(ErrorKind.MALFORMED, "; ".join(lines))


def _shown(configuration: Configuration) -> dict[str, object]:
    return {
        "teams": {
            name: {"share": team.share, "limit": _shown_limit(team.limit)}
            for name, team in sorted(configuration.teams.items())
        },
        "pools": dict(sorted(configuration.pools.items())),
        "queues": dict(sorted(configuration.queues.items())),
    }


def _shown_limit(
    amounts: Resources, limit: Resources | None = None
) -> dict[str, float] | None:
    """Return amounts in the units of the operators' folder; None for no limit.

    Amounts that `limit`, or else `amounts`, leaves unlimited are not shown.
    """
    if amounts == NO_LIMIT:
        return None
    bound = limit or amounts
    shown: dict[str, float] = {}
    if bound.cpu_millis < NO_LIMIT.cpu_millis:
        shown["cores"] = amounts.cpu_millis / MILLIS_PER_CORE
    if bound.memory_mb < NO_LIMIT.memory_mb:
        shown["memory_gb"] = amounts.memory_mb / MB_PER_GB
    if bound.accelerators < NO_LIMIT.accelerators:
        shown["accelerators"] = amounts.accelerators
    if bound.slots < NO_LIMIT.slots:
        shown["tasks"] = amounts.slots
    return shown


def _partition_fields(
    name: str, member: str, epoch: int, view: PartitionView | None
) -> dict[str, object]:
    fields: dict[str, object] = {"partition": name, "owner": member, "epoch": epoch}
    if view is not None:
        fields["may_act"] = view.may_act
        fields["pending"] = view.pending
        fields["works"] = view.works
        fields["workers"] = len(view.workers)
    return fields
