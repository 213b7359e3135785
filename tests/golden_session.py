"""Runs sessions of calls from YAML text and returns the replies as YAML text."""

from __future__ import annotations

import re
from signal import SIGKILL
from typing import Any

import yaml

from tools.processes import ADMIN_KEY, ProcessCluster, call_http, wait_until

WORK_ID_PATTERN = re.compile(r"(general|imaging)\.\d+\.[0-9a-f]{32}")
WORKER_PATTERN = re.compile(r"(general|imaging)-\d")
VOLATILE_FIELDS = frozenset({"waited_s", "age_s", "key_id", "key", "keys"})
"""Fields of replies whose values differ between runs; replaced by placeholders."""


class GoldenSession:
    """Runs the steps of one session on a cluster and collects the replies.

    A step that calls an entry has the keys:

    - ``call``: method and path; texts such as ``${name}`` stand for saved values
    - ``entry``: index of the entry to call; 0 by default
    - ``key``: key to send as a bearer token
    - ``headers`` and ``body``: headers and body of the request
    - ``until``: text; the call is first repeated until the reply contains it
    - ``save``: fields of the reply to save, by the name to save them under
    - ``show``: whether the body of the reply is part of the result; true by default

    Any other step has one of the keys:

    - ``kill_owner``: kills the entry that owns this partition
    - ``owner``: waits until this partition has an owner that may act
    - ``ready``: waits until every entry is ready
    - ``in_force``: waits until all entries have applied the same configuration
    - ``faults``: sets these faults of the stand-in platform

    Parameters
    ----------
    cluster : ProcessCluster
        The cluster to run the steps on.
    """

    def __init__(self, cluster: ProcessCluster) -> None:
        self._cluster = cluster
        self._saved: dict[str, str] = {"operator": ADMIN_KEY}
        self._work_ids: dict[str, str] = {}

    def run(self, text: str) -> str:
        """Run the steps in a YAML text and return their results as YAML text."""
        results = [self._run_step(step) for step in yaml.safe_load(text)]
        return yaml.safe_dump(
            results,
            sort_keys=False,
            allow_unicode=True,
            width=88,
            default_flow_style=False,
        )

    def _run_step(self, step: dict[str, Any]) -> dict[str, Any]:
        if "kill_owner" in step:
            owner = self._cluster.wait_for_owner(step["kill_owner"])
            self._cluster.stop_process(owner, SIGKILL)
            return {"step": f"kill the owner of {step['kill_owner']}"}
        if "owner" in step:
            self._cluster.wait_for_owner(step["owner"])
            return {"step": f"{step['owner']} has an owner that may act"}
        if "ready" in step:
            self._cluster.wait_until_ready()
            return {"step": "every entry is ready"}
        if "in_force" in step:
            self._cluster.wait_for_common_configuration()
            return {"step": "one version is in force everywhere"}
        if "faults" in step:
            url = f"{self._cluster.platform_url}/faults"
            call_http("PUT", url, step["faults"])
            return {"step": f"platform faults: {step['faults']}"}
        return self._run_call(step)

    def _run_call(self, step: dict[str, Any]) -> dict[str, Any]:
        entries = self._cluster.entries
        entry = entries[int(step.get("entry", 0)) % len(entries)]
        method, path = self._substitute_saved_values(step["call"]).split(" ", 1)
        headers = {
            name: self._substitute_saved_values(value)
            for name, value in step.get("headers", {}).items()
        }
        if "key" in step:
            headers["Authorization"] = "Bearer " + self._substitute_saved_values(
                str(step["key"])
            )
        url = self._cluster.entry_url(entry) + path
        if "until" in step:
            wait_until(
                lambda: (
                    step["until"] in str(call_http(method, url, None, headers).body)
                ),
                step["until"],
            )
        reply = call_http(method, url, step.get("body"), headers)
        for name, field in step.get("save", {}).items():
            self._saved[name] = str(reply.body[field])
        result: dict[str, Any] = {"step": step["call"], "status": reply.status}
        if step.get("show", True):
            result["answer"] = self._normalise(reply.body)
        return result

    def _substitute_saved_values(self, text: str) -> str:
        for name, value in self._saved.items():
            text = text.replace(f"${{{name}}}", value)
        return text

    def _normalise(self, value: Any) -> Any:
        if isinstance(value, dict):
            return {
                name: f"<{name}>" if name in VOLATILE_FIELDS else self._normalise(inner)
                for name, inner in value.items()
            }
        if isinstance(value, list):
            return [self._normalise(inner) for inner in value]
        if not isinstance(value, str):
            return value
        text = WORK_ID_PATTERN.sub(
            lambda match: self._get_work_placeholder(match[0]), value
        )
        return WORKER_PATTERN.sub(r"\1-<n>", text)

    def _get_work_placeholder(self, work_id: str) -> str:
        """Return the placeholder of a work id, the same at each occurrence."""
        name = f"{work_id.rpartition('.')[0]}.<work {len(self._work_ids) + 1}>"
        return self._work_ids.setdefault(work_id, name)
