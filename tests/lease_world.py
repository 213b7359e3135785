"""Two hosts, three workers and one task under the real lease rules.

Messages may be late, hosts may be cut from the store or from workers, and a host may be
dead. The one task may be started without a record, which is the hardest case.
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
CLOCK_OFFSETS_S = {"w0": 500.0, "w1": 0.0, "w2": 9000.0}


@frozen
class Rules:
    """Which rules are in force.

    Attributes
    ----------
    session : SessionRules
        The workers' rules.
    authority : AuthorityRules
        The owners' rules.
    start_validity : bool
        Whether starts expire on their way.
    """

    session: SessionRules = SessionRules()
    authority: AuthorityRules = AuthorityRules()
    start_validity: bool = True


@define
class Host:
    """A host that owns the partition, or believes that it does."""

    name: str
    epoch: int
    authority: Authority
    readings: dict[str, float] = field(factory=dict)
    read_at_s: dict[str, float] = field(factory=dict)
    heard_s: dict[str, float] = field(factory=dict)
    runs_on: str | None = None


@define
class Worker:
    """A worker's session, and whether the task runs there."""

    session: WorkerSession
    runs: bool = False


@frozen
class Message:
    """An adoption, a heartbeat or a start on its way."""

    kind: str
    host: str
    epoch: int
    worker: str
    echo_s: float
    valid_until_s: float
    sent_s: float


class LeaseWorld:
    """Steps the rules through any order of events.

    Parameters
    ----------
    rules : Rules, optional
        Which rules are in force.
    """

    def __init__(self, rules: Rules | None = None) -> None:
        self.rules = rules or Rules()
        self.clock = ManualClock(100.0)
        self.in_flight: list[Message] = []
        self.owner = "a"
        self.epoch = 1
        self.member_changed_s = self.clock.now()
        self.workers = {
            name: Worker(WorkerSession(self._worker_clock(name), self.rules.session))
            for name in WORKERS
        }
        self.hosts = {"a": self._new_host("a", taken_over=False)}
        self.renew("a")
        for name in WORKERS:
            self.exchange("a", "adopt", name)
            self.exchange("a", "heartbeat", name)

    @property
    def places(self) -> list[str]:
        """The workers on which the task runs."""
        return [name for name, worker in self.workers.items() if worker.runs]

    def advance(self, seconds: float) -> None:
        """Let time pass; workers end a task whose lease has lapsed."""
        self.clock.advance(seconds)
        for name, worker in self.workers.items():
            if worker.session.have_leases_expired(self._worker_clock(name)):
                worker.runs = False

    def renew(self, name: str) -> None:
        """Renew the owner's member row; a former owner is told that it lost."""
        host = self.hosts[name]
        if self.owner != name:
            host.authority.revoke()
            return
        self.member_changed_s = self.clock.now()
        host.authority.record_lease_renewal(self.clock.now())

    def take(self, name: str) -> bool:
        """Take the partition if its owner's row stood unchanged for a lease."""
        unchanged_s = self.clock.now() - self.member_changed_s
        if self.owner == name or unchanged_s <= MEMBER_LEASE_S:
            return False
        self.owner = name
        self.epoch += 1
        self.member_changed_s = self.clock.now()
        self.hosts[name] = self._new_host(name, taken_over=True)
        self.renew(name)
        return True

    def send(self, name: str, kind: str, worker: str) -> bool:
        """Put a message on its way; a start only if the host's rules allow it."""
        host = self.hosts[name]
        if host.authority.is_revoked:
            return False
        now_s = self.clock.now()
        reading_s = host.readings.get(worker)
        if reading_s is None and kind != "adopt":
            return False
        echo_s = reading_s if reading_s is not None else 0.0
        valid_until_s = float("inf")
        if kind == "start":
            if not self._may_start(host):
                return False
            host.runs_on = worker
            if self.rules.start_validity:
                since_s = now_s - host.read_at_s[worker]
                valid_until_s = echo_s + since_s + START_VALIDITY_S
        self.in_flight.append(
            Message(kind, name, host.epoch, worker, echo_s, valid_until_s, now_s)
        )
        return True

    def deliver(self, index: int, is_answered: bool = True) -> None:
        """Let a message arrive; its answer comes back at once or is lost."""
        message = self.in_flight.pop(index)
        worker = self.workers[message.worker]
        now_s = self._worker_clock(message.worker)
        if message.kind == "adopt":
            refusal = worker.session.adopt(message.epoch)
        elif message.kind == "heartbeat":
            refusal = worker.session.renew(message.epoch, message.echo_s, now_s)
        else:
            refusal = worker.session.check_start(
                message.epoch, message.valid_until_s, now_s
            )
            if refusal is None:
                worker.runs = True
        host = self.hosts.get(message.host)
        if not is_answered or host is None or host.epoch != message.epoch:
            return
        if refusal is not None:
            if refusal.value == "stale_epoch":
                host.authority.revoke()
            return
        self._answer(host, message, worker.runs)

    def exchange(self, name: str, kind: str, worker: str) -> bool:
        """Send a message and deliver it at once."""
        if not self.send(name, kind, worker):
            return False
        self.deliver(len(self.in_flight) - 1)
        return True

    def _answer(self, host: Host, message: Message, runs: bool) -> None:
        host.readings[message.worker] = self._worker_clock(message.worker)
        host.read_at_s[message.worker] = self.clock.now()
        heard_s = host.heard_s.get(message.worker, message.sent_s)
        host.heard_s[message.worker] = max(heard_s, message.sent_s)
        if message.kind == "adopt":
            host.authority.record_adoption(message.worker)
        elif message.kind == "heartbeat":
            host.authority.record_acknowledgement(message.worker, message.sent_s)
        if message.kind != "start" and runs:
            host.runs_on = message.worker

    def _may_start(self, host: Host) -> bool:
        """Tell whether the host would start the task now."""
        if not host.authority.may_act():
            return False
        if host.epoch > 1 and not host.authority.may_rerun_unreported():
            return False
        if host.runs_on is None:
            return True
        silent_s = self.clock.now() - host.heard_s[host.runs_on]
        return silent_s > RERUN_WAIT_S

    def _new_host(self, name: str, taken_over: bool) -> Host:
        authority = Authority(
            self.clock, WORKERS, taken_over, rules=self.rules.authority
        )
        return Host(name, self.epoch, authority)

    def _worker_clock(self, name: str) -> float:
        return self.clock.now() + CLOCK_OFFSETS_S[name]
