"""Plays whole sessions from files and shows what was answered."""

from __future__ import annotations

import re
from signal import SIGKILL
from typing import Any

import yaml

from tools.processes import ADMIN_KEY, ProcessCluster, call_http, wait_until

WORK_ID = re.compile(r"(general|imaging)\.\d+\.[0-9a-f]{32}")
WORKER = re.compile(r"(general|imaging)-\d")
CHANGING_FIELDS = frozenset({"waited_s", "age_s", "key_id", "key", "keys"})


class GoldenSession:
    """One session: its steps are read from a file, its answers are shown.

    A step calls one entry (``call``), saves fields of the answer (``save``), or
    drives a failure (``kill_owner``, ``faults``).

    Parameters
    ----------
    cluster : ProcessCluster
        The processes to play it on.
    """

    def __init__(self, cluster: ProcessCluster) -> None:
        self._cluster = cluster
        self._saved: dict[str, str] = {"operator": ADMIN_KEY}
        self._work_ids: dict[str, str] = {}

    def play(self, text: str) -> str:
        """Play the steps in a YAML text and return what is shown of them."""
        shown = [self._play_step(step) for step in yaml.safe_load(text)]
        return yaml.safe_dump(
            shown,
            sort_keys=False,
            allow_unicode=True,
            width=88,
            default_flow_style=False,
        )

    def _play_step(self, step: dict[str, Any]) -> dict[str, Any]:
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
        return self._call(step)

    def _call(self, step: dict[str, Any]) -> dict[str, Any]:
        entries = self._cluster.entries
        entry = entries[int(step.get("entry", 0)) % len(entries)]
        method, path = self._fill(step["call"]).split(" ", 1)
        headers = {
            name: self._fill(value) for name, value in step.get("headers", {}).items()
        }
        if "key" in step:
            headers["Authorization"] = "Bearer " + self._fill(str(step["key"]))
        url = self._cluster.url(entry) + path
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
        shown: dict[str, Any] = {"step": step["call"], "status": reply.status}
        if step.get("show", True):
            shown["answer"] = self._normalise(reply.body)
        return shown

    def _fill(self, text: str) -> str:
        for name, value in self._saved.items():
            text = text.replace(f"${{{name}}}", value)
        return text

    def _normalise(self, value: Any) -> Any:
        if isinstance(value, dict):
            return {
                name: f"<{name}>" if name in CHANGING_FIELDS else self._normalise(inner)
                for name, inner in value.items()
            }
        if isinstance(value, list):
            return [self._normalise(inner) for inner in value]
        if not isinstance(value, str):
            return value
        text = WORK_ID.sub(lambda found: self._name_work(found[0]), value)
        return WORKER.sub(r"\1-<n>", text)

    def _name_work(self, work_id: str) -> str:
        name = f"{work_id.rpartition('.')[0]}.<work {len(self._work_ids) + 1}>"
        return self._work_ids.setdefault(work_id, name)
