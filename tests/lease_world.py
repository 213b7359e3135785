"""A model of two hosts, three workers and one task, driven by the real lease rules.

Messages may be late, hosts may lose the connection to the store or to workers, and a
host may be dead. The task may be started without a journal record. This is the hardest
case: only the lease rules prevent a second run.
"""

from __future__ import annotations

from attrs import define, field, frozen

from fuchsiadale.decision.authority import Authority, AuthorityRules
from fuchsiadale.decision.clock import ManualClock
from fuchsiadale.decision.constants import (
    MEMBER_LEASE_S,
    RERUN_WAIT_S,
    START_VALIDITY_S,
)
from fuchsiadale.decision.session import SessionRules, WorkerSession

WORKERS = ("w0", "w1", "w2")
# The clocks of the workers differ, since the rules must not compare clocks of hosts.
CLOCK_OFFSETS_S = {"w0": 500.0, "w1": 0.0, "w2": 9000.0}


@frozen
class LeaseRules:
    """Which rules the hosts and the workers follow.

    Attributes
    ----------
    session : SessionRules
        The rules of the workers.
    authority : AuthorityRules
        The rules of the owners.
    start_validity : bool
        Whether starts expire while they are in flight.
    """

    session: SessionRules = SessionRules()
    authority: AuthorityRules = AuthorityRules()
    start_validity: bool = True


@define
class Host:
    """A host that owns the partition or believes that it does.

    Attributes
    ----------
    name : str
        Name of the host.
    epoch : int
        The epoch in which it acquired the partition.
    authority : Authority
        Decides whether it may start the task.
    clock_readings_s : dict of str to float
        The last reading of each worker's clock that it received.
    readings_received_at_s : dict of str to float
        When it received these readings.
    renewal_echoes_s : dict of str to float
        The last of these readings that renewed the leases of each worker's tasks.
    last_contact_s : dict of str to float
        When it sent the last message that each worker answered.
    task_worker : str or None
        The worker that it believes to run the task.
    """

    name: str
    epoch: int
    authority: Authority
    clock_readings_s: dict[str, float] = field(factory=dict)
    readings_received_at_s: dict[str, float] = field(factory=dict)
    renewal_echoes_s: dict[str, float] = field(factory=dict)
    last_contact_s: dict[str, float] = field(factory=dict)
    task_worker: str | None = None


@define
class Worker:
    """A worker that may run the task.

    Attributes
    ----------
    session : WorkerSession
        The session with the owner of the partition.
    runs_task : bool
        Whether the worker runs the task.
    """

    session: WorkerSession
    runs_task: bool = False


@frozen
class Message:
    """An adoption, a heartbeat or a start that is in flight.

    Attributes
    ----------
    kind : str
        ``adopt``, ``heartbeat`` or ``start``.
    host, worker : str
        The sender and the receiver.
    epoch : int
        Epoch of the sender.
    echo_s, valid_until_s : float
        On the worker's clock, the last reading that the sender received and the time
        after which a start is refused.
    sent_s : float
        When the message was sent, on the clock that the hosts share.
    """

    kind: str
    host: str
    epoch: int
    worker: str
    echo_s: float
    valid_until_s: float
    sent_s: float


class LeaseWorld:
    """Applies the lease rules to events in any order.

    Parameters
    ----------
    rules : LeaseRules, optional
        The rules to follow; all by default.
    """

    def __init__(self, rules: LeaseRules | None = None) -> None:
        self.rules = rules or LeaseRules()
        self.clock = ManualClock(100.0)
        self.in_flight: list[Message] = []
        self._clock_offsets_s = dict(CLOCK_OFFSETS_S)
        self.owner = "a"
        self.epoch = 1
        self.owner_row_changed_s = self.clock.now()
        self.workers = {
            name: Worker(WorkerSession(self._worker_clock_s(name), self.rules.session))
            for name in WORKERS
        }
        self.hosts = {"a": self._new_host("a", taken_over=False)}
        self.renew_lease("a")
        for name in WORKERS:
            self.send_and_deliver("a", "adopt", name)
            self.send_and_deliver("a", "heartbeat", name)

    @property
    def task_workers(self) -> list[str]:
        """Names of the workers on which the task runs."""
        return [name for name, worker in self.workers.items() if worker.runs_task]

    def advance(self, seconds: float) -> None:
        """Advance the clock; workers end the task when its lease expires."""
        self.clock.advance(seconds)
        for name, worker in self.workers.items():
            if worker.session.have_leases_expired(self._worker_clock_s(name)):
                worker.runs_task = False

    def reboot(self, name: str) -> None:
        """Let a worker start again with a clock and a session that start anew."""
        self._clock_offsets_s[name] = -self.clock.now()
        self.workers[name] = Worker(WorkerSession(0.0, self.rules.session))

    def renew_lease(self, name: str) -> None:
        """Renew the member row of the owner; revoke the authority of a former owner."""
        host = self.hosts[name]
        if self.owner != name:
            host.authority.revoke()
            return
        self.owner_row_changed_s = self.clock.now()
        host.authority.record_lease_renewal(self.clock.now())

    def take_over(self, name: str) -> bool:
        """Take over the partition if the lease of its owner has expired."""
        unchanged_s = self.clock.now() - self.owner_row_changed_s
        if self.owner == name or unchanged_s <= MEMBER_LEASE_S:
            return False
        self.owner = name
        self.epoch += 1
        self.owner_row_changed_s = self.clock.now()
        self.hosts[name] = self._new_host(name, taken_over=True)
        self.renew_lease(name)
        return True

    def send(self, name: str, kind: str, worker: str) -> bool:
        """Send a message; return False if the host cannot or may not send it."""
        host = self.hosts[name]
        if host.authority.is_revoked:
            return False
        now_s = self.clock.now()
        reading_s = host.clock_readings_s.get(worker)
        if reading_s is None and kind != "adopt":
            return False
        echo_s = reading_s if reading_s is not None else 0.0
        valid_until_s = float("inf")
        if kind == "heartbeat":
            if host.authority.may_renew_leases():
                host.renewal_echoes_s[worker] = echo_s
            echo_s = host.renewal_echoes_s.get(worker, 0.0)
        if kind == "start":
            if not self._may_start(host):
                return False
            host.task_worker = worker
            if self.rules.start_validity:
                since_s = now_s - host.readings_received_at_s[worker]
                valid_until_s = echo_s + since_s + START_VALIDITY_S
        self.in_flight.append(
            Message(kind, name, host.epoch, worker, echo_s, valid_until_s, now_s)
        )
        return True

    def deliver(self, index: int, is_answered: bool = True) -> None:
        """Deliver a message; its answer arrives immediately or is lost."""
        message = self.in_flight.pop(index)
        worker = self.workers[message.worker]
        now_s = self._worker_clock_s(message.worker)
        if message.kind == "adopt":
            refusal = worker.session.adopt(message.epoch)
        elif message.kind == "heartbeat":
            refusal = worker.session.renew(message.epoch, message.echo_s, now_s)
        else:
            refusal = worker.session.check_start(
                message.epoch, message.valid_until_s, now_s
            )
            if refusal is None:
                worker.runs_task = True
        host = self.hosts.get(message.host)
        if not is_answered or host is None or host.epoch != message.epoch:
            return
        if refusal is not None:
            if refusal.value == "stale_epoch":
                host.authority.revoke()
            return
        self._process_answer(host, message, worker.runs_task)

    def send_and_deliver(self, name: str, kind: str, worker: str) -> bool:
        """Send a message and deliver it immediately; return whether it was sent."""
        if not self.send(name, kind, worker):
            return False
        self.deliver(len(self.in_flight) - 1)
        return True

    def _process_answer(self, host: Host, message: Message, runs: bool) -> None:
        host.clock_readings_s[message.worker] = self._worker_clock_s(message.worker)
        host.readings_received_at_s[message.worker] = self.clock.now()
        previous_contact_s = host.last_contact_s.get(message.worker, message.sent_s)
        host.last_contact_s[message.worker] = max(previous_contact_s, message.sent_s)
        if message.kind == "adopt":
            host.authority.record_adoption(message.worker)
        elif message.kind == "heartbeat":
            host.authority.record_acknowledgement(message.worker, message.sent_s)
        if message.kind != "start" and runs:
            host.task_worker = message.worker

    def _may_start(self, host: Host) -> bool:
        """Return whether the host may start the task now."""
        if not host.authority.may_act():
            return False
        if host.epoch > 1 and not host.authority.may_rerun_unreported():
            return False
        if host.task_worker is None:
            return True
        silent_s = self.clock.now() - host.last_contact_s[host.task_worker]
        return silent_s > RERUN_WAIT_S

    def _new_host(self, name: str, taken_over: bool) -> Host:
        authority = Authority(
            self.clock, WORKERS, taken_over, rules=self.rules.authority
        )
        return Host(name, self.epoch, authority)

    def _worker_clock_s(self, name: str) -> float:
        return self.clock.now() + self._clock_offsets_s[name]
