"""Time limits and sizes that the decision logic shares with the entry processes.

Names that end in ``_S`` are in seconds, names that end in ``_BYTES`` in bytes.
"""

# How often a member renews its lease.
MEMBER_RENEWAL_INTERVAL_S = 1.0
# Once the row of a member has not changed for this long, the other members may declare
# it dead.
MEMBER_LEASE_S = 5.0
# How long the acknowledgement of a heartbeat lets an owner act without its lease,
# counted from the sending of the heartbeat.
WITNESS_VALIDITY_S = 3.0
# How long after the last renewal of its session a worker accepts starts. The owner
# marks a worker as silent after the same time without contact.
SESSION_TIMEOUT_S = 4.0
# How long after the last renewal of its session a worker lets its tasks run.
TASK_LEASE_S = 6.0
# An owner stops relying on its lease this long before it expires, and a new owner waits
# this much longer than the former owner may act.
SAFETY_MARGIN_S = 0.5
# How long a worker must be out of contact before its attempts have certainly ended.
RERUN_WAIT_S = SESSION_TIMEOUT_S + TASK_LEASE_S + SAFETY_MARGIN_S
# How long a worker may hold a heartbeat unanswered while it has no end to report.
HEARTBEAT_MAX_HOLD_S = 1.0
# How long after it is sent a start may take effect.
START_VALIDITY_S = 2.0
# How far the end of this time lies ahead at most on the clock of the worker's boot that
# a start is meant for; clocks may differ in speed.
MAX_START_VALIDITY_S = START_VALIDITY_S + SAFETY_MARGIN_S
# An entry accepts work only if its configuration was confirmed within this time.
CONFIG_MAX_AGE_S = 10.0

# The delay before a retry doubles with every attempt, between these bounds.
RETRY_BACKOFF_INITIAL_S = 0.1
RETRY_BACKOFF_MAX_S = 10.0
# A task that has failed this often is not retried.
MAX_FAILURES_PER_TASK = 5
# Retries with the normal backoff that each new task adds to the budget of its queue.
RETRY_BUDGET_RATIO = 0.2
# Retries with the normal backoff in the budget of a queue before its first task.
RETRY_BUDGET_INITIAL_TOKENS = 10.0

# Work that has failed on this many workers, or of which one task crashed them, is
# poison.
POISON_WORKER_THRESHOLD = 3
# An attempt that its worker has reported as running for longer than this is not taken
# for the cause if the worker then crashes.
CRASH_SUSPECT_AGE_S = 0.5
# An attempt that runs for longer than this clears its task of earlier crashes.
CRASH_CLEARANCE_AGE_S = 5.0
# Delay between the retries of attempts that may have caused the same crash, so that
# they do not start together again.
CRASH_SUSPECT_SPACING_S = 2.0
# Upper bound on this delay: most crashes have a cause outside, and callers wait.
CRASH_SUSPECT_MAX_DELAY_S = 10.0
# A worker is quarantined after this many failures of work that then succeeded on
# another worker, without a success of its own in between.
QUARANTINE_FAILURE_THRESHOLD = 3
# How long a worker stays in quarantine. It then gets tasks again as a trial, and one
# more such failure puts it back.
QUARANTINE_DURATION_S = 30.0

# How long a gang may keep workers reserved.
GANG_RESERVATION_S = 30.0
# Tasks of one partition that may be queued and ready to be placed.
MAX_QUEUED_TASKS = 100_000
# Tasks that one job may have.
MAX_JOB_TASKS = 10_000
# Largest payload of a submission.
MAX_PAYLOAD_BYTES = 1 << 20
# The journal does not record answers that are larger.
MAX_ANSWER_IN_JOURNAL_BYTES = 64 << 10
# How long the result of a request is kept for its caller, a recovered request waits for
# its caller to submit it again, and the end of an attempt of unknown work is kept in
# case that work is submitted again.
RESULT_RETENTION_S = 600.0
# How long the result of a request without an idempotency key is kept once delivered.
DELIVERED_RETENTION_S = 30.0
# How long the results of a job are kept after it ended.
JOB_RETENTION_S = 6 * 3600.0
