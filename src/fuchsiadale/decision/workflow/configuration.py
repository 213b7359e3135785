"""Configuration of a cell: its queues and workspaces."""

from __future__ import annotations

from attrs import field, frozen

from fuchsiadale.decision.resources import NO_LIMIT, Resources


@frozen
class AdviceTiming:
    """Durations of requests to the advice service, and of its tickets.

    The service answers which workers may run a step, and issues tickets for these.

    Attributes
    ----------
    base_s : float
        Duration of a request without workers, in seconds.
    per_worker_s : float
        Additional duration for each worker in the request, in seconds.
    valid_s : float
        Seconds for which a ticket is valid.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def call_duration_s(self, workers: int) -> float:
        """Return the duration of a request about `workers` workers, in seconds."""
        return self.base_s + workers * self.per_worker_s


@frozen
class Queue:
    """A queue, to which callers submit jobs of one kind.

    Attributes
    ----------
    name : str
        Name of the queue.
    host : str
        Virtual host that serves the queue.
    path_prefix : str
        Prefix of the paths of the queue's calls.
    pool : str
        Pool whose workers run the queue's tasks.
    priority : int
        Priority of the queue; 0 is the most urgent.
    max_attempts : int
        Number of failed runs of a task, or of a gang, that fails the job.
    stretch : float
        Objective for a job's duration, as a multiple of the forecast duration of its
        longest chain of steps.
    slack_s : float
        Seconds added to the objective.
    is_public : bool
        Whether callers need no API key.
    advice : AdviceTiming or None
        Set if a step may run only on workers for which it has a ticket.
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
    """A workspace, on whose behalf callers submit jobs.

    Attributes
    ----------
    name : str
        Name of the workspace.
    keys : tuple of str
        API keys that authenticate the workspace.
    weight : float
        Rate of submissions per second; jobs above it are scheduled after all others.
    limit : Resources
        Resources that the workspace may use at once, over all pools.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: Resources = NO_LIMIT


@frozen
class CellConfiguration:
    """A version of the configuration.

    Attributes
    ----------
    version : int
        Number that rises with every change.
    queues : tuple of Queue
        All queues of the cell.
    workspaces : tuple of Workspace
        All workspaces of the cell.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    _queues_by_name: dict[str, Queue] = field(init=False, repr=False, eq=False)
    _workspaces_by_name: dict[str, Workspace] = field(init=False, repr=False, eq=False)
    _workspaces_by_key: dict[str, Workspace] = field(init=False, repr=False, eq=False)

    @_queues_by_name.default
    def _index_queues(self) -> dict[str, Queue]:
        return {queue.name: queue for queue in self.queues}

    @_workspaces_by_name.default
    def _index_workspaces(self) -> dict[str, Workspace]:
        return {workspace.name: workspace for workspace in self.workspaces}

    @_workspaces_by_key.default
    def _index_keys(self) -> dict[str, Workspace]:
        return {
            key: workspace for workspace in self.workspaces for key in workspace.keys
        }

    def queue(self, name: str) -> Queue | None:
        """Return the queue with a name, or None if there is none."""
        return self._queues_by_name.get(name)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace with a name, or None if there is none."""
        return self._workspaces_by_name.get(name)

    def find_workspace_by_key(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or None if there is none."""
        return self._workspaces_by_key.get(key)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue on a host with the longest matching path prefix, or None."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)
