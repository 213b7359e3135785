"""The HTTP interface for operators, under ``/admin/v1``."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web
from result import Err, Ok, Result

from fuchsiadale.config.documents import DocumentNode, Problem, SourceFile
from fuchsiadale.config.json_body import parse_json_object
from fuchsiadale.config.model import ConfigDocument, Configuration
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
from fuchsiadale.entry.config_driver import ConfigDriver
from fuchsiadale.entry.directory import Directory
from fuchsiadale.entry.responses import json_response, refusal_response
from fuchsiadale.entry.router import Router
from fuchsiadale.metrics import MemoryCounters

PATH_PREFIX = "/admin/v1"
# The highest configuration version that a request may name.
MAX_CONFIG_VERSION = 1 << 40

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminApi:
    """Serves the HTTP interface for operators.

    Every request needs an operator's key in its ``Authorization`` header.

    Parameters
    ----------
    config : ConfigDriver
        Shows and changes the configuration.
    router : Router
        Fetches the views of the partitions from their owners.
    directory : Directory
        The owners of the partitions.
    counters : MemoryCounters
        The counters of this process.
    admin_key_sha256 : tuple of str
        SHA-256 digests of the operators' keys, in hexadecimal.
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
        """Add the routes and the check of the operator's key to an application."""
        app.middlewares.append(self._require_key)
        app.router.add_get(f"{PATH_PREFIX}/config", self._show_config)
        app.router.add_put(f"{PATH_PREFIX}/config", self._apply_config)
        app.router.add_post(f"{PATH_PREFIX}/keys", self._create_key)
        app.router.add_delete(f"{PATH_PREFIX}/keys/{{key_id}}", self._withdraw_key)
        domain_path = f"{PATH_PREFIX}/drained-domains/{{domain}}"
        app.router.add_put(domain_path, self._drain_domain)
        app.router.add_delete(domain_path, self._restore_domain)
        app.router.add_get(f"{PATH_PREFIX}/teams/{{team}}", self._show_team)
        app.router.add_get(f"{PATH_PREFIX}/partitions", self._list_partitions)
        app.router.add_get(f"{PATH_PREFIX}/workers", self._list_workers)
        app.router.add_get(f"{PATH_PREFIX}/counters", self._show_counters)

    @web.middleware
    async def _require_key(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if not request.path.startswith(PATH_PREFIX) or self._is_operator(request):
            return await handler(request)
        message = "an operator's key is needed: Authorization: Bearer <key>"
        return refusal_response(Refusal(ErrorKind.UNAUTHENTICATED, message))

    def _is_operator(self, request: web.Request) -> bool:
        _, _, key = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        matches = [
            hmac.compare_digest(digest, known_digest)
            for known_digest in self._admin_key_sha256
        ]
        return any(matches)

    async def _show_config(self, request: web.Request) -> web.Response:
        document = self._config.document
        keys = [
            {"key_id": key_id, "team": record.team}
            for key_id, record in sorted(document.keys.items())
        ]
        return json_response(
            {
                "version": document.version,
                "age_s": round(self._config.freshness.age_s(), 3),
                "configuration": _configuration_fields(document.configuration),
                "keys": keys,
                "drained_domains": list(document.drained_domains),
            }
        )

    async def _apply_config(self, request: web.Request) -> web.Response:
        parsed = await _parse_body(request)
        if isinstance(parsed, Err):
            return refusal_response(parsed.err_value)
        body, problems = parsed.ok_value, parsed.ok_value.problems
        base_version = None
        if body.has_field("base_version"):
            base_version = body.reader.read_integer(
                "base_version", 0, 0, MAX_CONFIG_VERSION
            )
        files = _source_files(body)
        body.reader.report_unknown_fields()
        if problems:
            return refusal_response(_malformed_refusal(problems))
        changed = await self._config.replace_from_files(files, base_version)
        if isinstance(changed, Err):
            return refusal_response(changed.err_value)
        return json_response({"version": changed.ok_value.version})

    async def _create_key(self, request: web.Request) -> web.Response:
        body = await _parse_body(request)
        if isinstance(body, Err):
            return refusal_response(body.err_value)
        team = body.ok_value.reader.read_name("team")
        body.ok_value.reader.report_unknown_fields()
        if body.ok_value.problems:
            return refusal_response(_malformed_refusal(body.ok_value.problems))
        key = await self._config.create_key(team)
        if isinstance(key, Err):
            return refusal_response(key.err_value)
        fields = {"key_id": key.ok_value.key_id, "team": team, "key": key.ok_value.text}
        return json_response(fields, 201)

    async def _withdraw_key(self, request: web.Request) -> web.Response:
        key_id = request.match_info["key_id"]
        changed = await self._config.withdraw_key(key_id)
        if isinstance(changed, Err):
            return refusal_response(changed.err_value)
        return json_response({"version": changed.ok_value.version, "withdrawn": key_id})

    async def _drain_domain(self, request: web.Request) -> web.Response:
        name = request.match_info["domain"]
        return _drained_domains_response(await self._config.drain_domain(name))

    async def _restore_domain(self, request: web.Request) -> web.Response:
        name = request.match_info["domain"]
        return _drained_domains_response(await self._config.restore_domain(name))

    async def _show_team(self, request: web.Request) -> web.Response:
        name = request.match_info["team"]
        document = self._config.document
        team = document.configuration.teams.get(name)
        if team is None:
            message = f"there is no team {name!r}"
            return refusal_response(Refusal(ErrorKind.NOT_FOUND, message))
        used = NO_RESOURCES
        granted = NO_RESOURCES
        for partition in await self._router.inspect_all():
            for view in partition.teams:
                if view.team == name:
                    used = used + view.used
                    granted = granted + (view.grant or NO_RESOURCES)
        is_limited = team.limit != NO_LIMIT
        return json_response(
            {
                "team": name,
                "share": team.share,
                "limit": _resource_fields(team.limit),
                "granted": _resource_fields(granted, team.limit)
                if is_limited
                else None,
                "used": _resource_fields(used),
                "keys": [
                    key_id for key_id, key in document.keys.items() if key.team == name
                ],
            }
        )

    async def _list_partitions(self, request: web.Request) -> web.Response:
        views = {view.name: view for view in await self._router.inspect_all()}
        rows = [
            _partition_fields(name, owner.member, owner.epoch, views.get(name))
            for name, owner in sorted(self._directory.owners.items())
        ]
        return json_response({"partitions": rows})

    async def _list_workers(self, request: web.Request) -> web.Response:
        drained_domains = self._config.document.drained_domains
        rows = [
            {
                "worker": worker.name,
                "partition": view.name,
                "failure_domain": worker.failure_domain,
                "is_drained": worker.failure_domain in drained_domains,
                "state": worker.state.value,
                "capacity": _resource_fields(worker.capacity),
                "free": _resource_fields(worker.free),
                "attempts": worker.attempts,
            }
            for view in await self._router.inspect_all()
            for worker in view.workers
        ]
        return json_response({"workers": rows})

    async def _show_counters(self, request: web.Request) -> web.Response:
        return json_response({"counters": dict(sorted(self._counters.counts.items()))})


def _drained_domains_response(
    changed: Result[ConfigDocument, Refusal],
) -> web.Response:
    if isinstance(changed, Err):
        return refusal_response(changed.err_value)
    document = changed.ok_value
    return json_response(
        {
            "version": document.version,
            "drained_domains": list(document.drained_domains),
        }
    )


class _RequestBody:
    """The JSON body of a request.

    Parameters
    ----------
    document : DocumentNode
        The parsed body.

    Attributes
    ----------
    problems : list of Problem
        The problems that were found in the body so far.
    reader : MappingReader
        Reads the fields of the body and adds to `problems`.
    """

    def __init__(self, document: DocumentNode) -> None:
        self.problems: list[Problem] = []
        self.reader = MappingReader(document, self.problems)

    def has_field(self, name: str) -> bool:
        """Return whether the body has a field of this name."""
        return name in (self.reader.node.fields or {})


async def _parse_body(request: web.Request) -> Result[_RequestBody, Refusal]:
    parsed = parse_json_object(await request.read())
    if isinstance(parsed, Err):
        return Err(_malformed_refusal(parsed.err_value))
    return Ok(_RequestBody(parsed.ok_value))


def _source_files(body: _RequestBody) -> list[SourceFile]:
    """Return the field ``files``, a mapping of file names to texts, sorted by name."""
    files_reader = body.reader.read_mapping("files")
    if files_reader is None:
        body.reader.add_problem("is missing", "files")
        return []
    names = sorted(files_reader.node.fields or {})
    return [SourceFile(name, files_reader.read_text(name)) for name in names]


def _malformed_refusal(problems: list[Problem]) -> Refusal:
    lines = [f"{problem.field or 'body'}: {problem.message}" for problem in problems]
    return Refusal(ErrorKind.MALFORMED, "; ".join(lines))


def _configuration_fields(configuration: Configuration) -> dict[str, object]:
    return {
        "teams": {
            name: {"share": team.share, "limit": _resource_fields(team.limit)}
            for name, team in sorted(configuration.teams.items())
        },
        "pools": dict(sorted(configuration.pools.items())),
        "queues": dict(sorted(configuration.queues.items())),
    }


def _resource_fields(
    amounts: Resources, limit: Resources | None = None
) -> dict[str, float] | None:
    """Return resources as JSON fields; None if `amounts` is unlimited.

    The fields have the names and units of the configuration files. If `limit` is given,
    only the resources that it limits are shown, otherwise those that `amounts` limits.
    Connections are never shown.
    """
    if amounts == NO_LIMIT:
        return None
    displayed_limit = limit or amounts
    fields: dict[str, float] = {}
    if displayed_limit.cpu_millis < NO_LIMIT.cpu_millis:
        fields["cores"] = amounts.cpu_millis / MILLIS_PER_CORE
    if displayed_limit.memory_mb < NO_LIMIT.memory_mb:
        fields["memory_gb"] = amounts.memory_mb / MB_PER_GB
    if displayed_limit.accelerators < NO_LIMIT.accelerators:
        fields["accelerators"] = amounts.accelerators
    if displayed_limit.slots < NO_LIMIT.slots:
        fields["tasks"] = amounts.slots
    return fields


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
