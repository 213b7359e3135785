"""Tracks which workers are registered, answer and hold leases."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiadale.decision.workflow.crash_tracker import CrashTracker
from fuchsiadale.decision.workflow.messages import VanishReason, WorkerEntry
from fuchsiadale.decision.workflow.tracked_worker import TrackedWorker


class WorkerRegistry(CrashTracker):
    """Updates the workers of a cell from registrations and from calls to them."""

    def bound_previous_owner_leases(self, until_s: float) -> None:
        """Bound the leases of workers that have not answered this owner yet.

        Parameters
        ----------
        until_s : float
            Time by which every run that a previous owner started has ended, on the
            loop's clock.
        """
        held = 0
        for worker in self.workers.values():
            if worker.leases.inherited_end_s:
                held += bool(worker.runs)
                worker.leases.bound_inherited(until_s)
        self._record_decision(
            "previous_leases_bounded",
            "",
            ends_in_s=round(until_s - self.clock.now(), 3),
            workers=held,
        )

    def update_registrations(
        self, entries: Iterable[WorkerEntry]
    ) -> list[TrackedWorker]:
        """Update the workers from the list of registrations.

        Parameters
        ----------
        entries : iterable of WorkerEntry
            The registrations of all workers; a worker that is missing is unlisted.

        Returns
        -------
        added : list of TrackedWorker
            Workers that were not known.
        """
        added = []
        listed_ids = set()
        for entry in entries:
            listed_ids.add(entry.worker_id)
            known_worker = self.workers.get(entry.worker_id)
            if known_worker is None:
                worker = TrackedWorker(entry)
                worker.note_cold(self.clock.now())
                worker.leases.extend(self.clock.now())
                self.workers[entry.worker_id] = worker
                added.append(worker)
                self._compare_with_gone_workers(worker)
                self._record_decision(
                    "worker_found",
                    "",
                    worker=entry.worker_id,
                    is_back=worker.lost_s is not None,
                )
                continue
            if known_worker.entry.state is not entry.state:
                self._record_decision(
                    "worker_state",
                    "",
                    worker=entry.worker_id,
                    state=entry.state.value,
                )
            known_worker.update_entry(entry, self.clock.now())
        for worker_id, worker in self.workers.items():
            if worker_id not in listed_ids and worker.is_listed:
                worker.is_listed = False
                self._record_decision("worker_unlisted", "", worker=worker_id)
        return added

    def restore_workers(self, entries: Iterable[WorkerEntry]) -> list[TrackedWorker]:
        """Add workers that an earlier owner stored; return those that were not known.

        They are unlisted, and so get no new task, until the list of registrations has
        been read: a worker may have left, or have begun to drain, since it was stored.
        """
        added = self.update_registrations(entries)
        for worker in added:
            worker.is_listed = False
        return added

    def mark_worker_unresponsive(
        self, worker_id: str, failure: str = "", is_closed: bool = False
    ) -> None:
        """Mark a worker that did not answer, so that no new run is placed on it.

        Parameters
        ----------
        worker_id : str
            The worker; nothing happens if it is not known.
        failure : str
            How the call to the worker failed, for the log.
        is_closed : bool, default=False
            Whether the connection was closed or refused.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and worker.unresponsive_since_s is None:
            now = self.clock.now()
            worker.unresponsive_since_s = now
            self._note_contact_lost(worker)
            self._record_decision(
                "worker_silent",
                "",
                worker=worker_id,
                failure=failure,
                **worker.describe_runs(now),
            )
        if worker is not None and is_closed:
            self._note_connection_closed(worker)

    def extend_lease(self, worker_id: str, ends_s: float) -> None:
        """Extend a worker's lease; the worker ends all of its runs when it lapses.

        Parameters
        ----------
        worker_id : str
            The worker; nothing happens if it is not known.
        ends_s : float
            When the lease ends if no later order renews it, on the loop's clock.
        """
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.leases.extend(ends_s)

    def extend_misdated_lease(self, worker_id: str, ends_s: float) -> None:
        """Extend the lease that an order for another incarnation may have granted.

        Parameters
        ----------
        worker_id : str
            The worker; nothing happens if it is not known.
        ends_s : float
            When such a lease has certainly ended, on the loop's clock.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        now = self.clock.now()
        if worker.leases.misdated_end_s <= now:
            self._record_decision(
                "misdated_lease_assumed",
                "",
                worker=worker_id,
                ends_in_s=round(ends_s - now, 3),
            )
        worker.leases.extend_misdated(ends_s)

    def mark_worker_replaced(self, worker_id: str) -> None:
        """Mark a worker as replaced: another worker answers at its address.

        All runs on the replaced worker count as ended.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        self.mark_worker_unresponsive(worker_id, "other_boot")
        self._note_contact_lost(worker)
        if worker.runs:
            self._record_decision(
                "worker_replaced",
                "",
                worker=worker_id,
                **worker.describe_runs(self.clock.now()),
            )
            self._end_vanished_runs(worker, VanishReason.WORKER_REPLACED)
        self._note_crash(worker, self._find_next_start_ms(worker))
        worker.is_adopted = False

    def remove_gone_workers(self) -> list[str]:
        """Remove workers that are unregistered, do not answer and have no runs.

        Returns
        -------
        gone_ids : list of str
            The ids of the removed workers.
        """
        gone_ids = [
            worker_id
            for worker_id, worker in self.workers.items()
            if not worker.is_listed
            and worker.unresponsive_since_s is not None
            and not worker.runs
        ]
        for worker_id in gone_ids:
            self._remember_gone_worker(self.workers.pop(worker_id))
            self.retired_workers.add(worker_id)
            self._record_decision("worker_forgotten", "", worker=worker_id)
        return gone_ids
