"""The configuration that a cell works under."""

from __future__ import annotations

from attrs import field, frozen

from fuchsiadale.decision.resources import NO_LIMIT, Resources


@frozen
class AdviceTiming:
    """What asking which workers may run a step costs.

    Attributes
    ----------
    base_s : float
        Time that every call takes, in seconds.
    per_worker_s : float
        Further time for each worker named, in seconds.
    valid_s : float
        How long a ticket is accepted, in seconds.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def call_duration_s(self, workers: int) -> float:
        """Return the time that a call naming `workers` takes, in seconds."""
        return self.base_s + workers * self.per_worker_s


@frozen
class Queue:
    """A queue: where jobs of one kind enter.

    Attributes
    ----------
    name : str
        Its name.
    host : str
        The virtual host under which callers reach it.
    path_prefix : str
        What the paths of its calls begin with.
    pool : str
        The pool whose workers run its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs of a task after which its job has failed.
    stretch : float
        Objective for a job's duration, as a multiple of its longest chain of work.
    slack_s : float
        Seconds added to the objective.
    is_public : bool
        Whether calls need no key.
    advice : AdviceTiming or None
        Set if only some workers may run a step, and tickets say which.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 0.0
    is_public: bool = False
    advice: AdviceTiming | None = None


@frozen
class Workspace:
    """A workspace: who submits, with which keys, weight and limit."""

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Resources = NO_LIMIT


@frozen
class CellConfiguration:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with every change.
    queues : tuple of Queue
        Every queue.
    workspaces : tuple of Workspace
        Every workspace.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    _by_queue: dict[str, Queue] = field(init=False, repr=False, eq=False)
    _by_workspace: dict[str, Workspace] = field(init=False, repr=False, eq=False)
    _by_key: dict[str, Workspace] = field(init=False, repr=False, eq=False)

    @_by_queue.default
    def _index_queues(self) -> dict[str, Queue]:
        return {queue.name: queue for queue in self.queues}

    @_by_workspace.default
    def _index_workspaces(self) -> dict[str, Workspace]:
        return {workspace.name: workspace for workspace in self.workspaces}

    @_by_key.default
    def _index_keys(self) -> dict[str, Workspace]:
        return {key: item for item in self.workspaces for key in item.keys}

    def queue(self, name: str) -> Queue | None:
        """Return a queue by its name."""
        return self._by_queue.get(name)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._by_workspace.get(name)

    def find_workspace_by_key(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        return self._by_key.get(key)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix that a path begins with."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)
