"""Time limits and sizes that the decision logic shares with the entry processes.

Names that end in ``_S`` are in seconds, names that end in ``_BYTES`` in bytes.
"""

# A member renews its lease at this interval. Once its row has not changed for the
# lease, the other members may declare it dead.
MEMBER_RENEWAL_INTERVAL_S = 1.0
MEMBER_LEASE_S = 5.0
# How long the acknowledgement of a heartbeat lets an owner act without its lease,
# counted from the sending of the heartbeat.
WITNESS_VALIDITY_S = 3.0
# How long after the last renewal of its session a worker accepts starts.
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
# An entry accepts work only if its configuration was confirmed within this time.
CONFIG_MAX_AGE_S = 10.0

# The delay before a retry doubles with every attempt, between these bounds.
RETRY_BACKOFF_INITIAL_S = 0.1
RETRY_BACKOFF_MAX_S = 10.0
# A task that has failed this often is not retried.
MAX_FAILURES_PER_TASK = 5
# Retries that each new task adds to the retry budget of its queue.
RETRY_BUDGET_RATIO = 0.2
# Retries in the budget of a queue before its first task.
RETRY_BUDGET_INITIAL_TOKENS = 10.0

# Work that has failed on this many workers is poison.
POISON_WORKER_THRESHOLD = 3
# A worker is quarantined after this many failures of work that then succeeded on
# another worker.
QUARANTINE_FAILURE_THRESHOLD = 3
QUARANTINE_DURATION_S = 30.0

# How long a gang may keep workers reserved.
GANG_RESERVATION_S = 30.0
# Tasks that may be queued in one partition.
MAX_QUEUED_TASKS = 100_000
MAX_JOB_TASKS = 10_000
MAX_PAYLOAD_BYTES = 1 << 20
# The journal does not record answers that are larger.
MAX_ANSWER_IN_JOURNAL_BYTES = 64 << 10
# How long the result of a request is kept for its caller, and how long a recovered
# request waits for its caller to submit it again.
RESULT_RETENTION_S = 600.0
# The same once the result was delivered, for a request without an idempotency key.
DELIVERED_RETENTION_S = 30.0
# How long the results of a job are kept after it ended.
JOB_RETENTION_S = 6 * 3600.0
