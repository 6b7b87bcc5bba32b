"""Limits and defaults of cordons. Times are microseconds (``_US``), shares are fractions of 1."""

SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US
HOUR_US = 60 * MINUTE_US
DAY_US = 24 * HOUR_US

# Limits of operators' input. A cordon's ID is part of a URL's path; the text of its reason is shown on one
# line of a terminal.
MAX_ID_CHARS = 128
MAX_TARGET_CHARS = 512  # the longest targets are 'worker/' followed by an instance ID
MAX_TEXT_CHARS = 200
MAX_NAME_CHARS = 128  # for the name of an operator, an observer or a scheduler
# A body of this size holds texts of maximum length in UTF-8, even with four bytes for each character, but not
# if most of the characters are written as \uXXXX escapes.
MAX_BODY_BYTES = 4_096
MAX_OBSERVERS = 16  # the maximum number of observers that the reason of an automatic cordon names

# Limits of the cordons of one target. A writer adds no reason beyond MAX_REASONS. A merge of concurrent
# writes may exceed MAX_REASONS, but a value from a peer that exceeds MAX_ENTRIES, MAX_WRITERS, MAX_RANGES or
# MAX_INTEGER is rejected.
MAX_REASONS = 32  # number of different cordon IDs of one target
MAX_ENTRIES = 1_024  # number of reasons, including several with the same ID that were written concurrently
# Number of processes that have set cordons of the target. A value retains the writes of all these processes
# until its record expires, and each restart of a scheduler is a further process. The limit allows for 200
# schedulers, each started 10 times while the target was never without a cordon.
MAX_WRITERS = 2_048
MAX_RANGES = 4_096  # number of ranges of seen counters, over all writers
MAX_INTEGER = 2**62  # for counters and Unix microseconds (146,000 years); fits an integer of MessagePack

MAX_TARGETS = 8_192  # number of targets with a record: 1,000 workers, each with eight successive instance IDs
RECORD_LIFETIME_US = 30 * DAY_US  # a record with a cordon that ends later is renewed before it expires
# A reason is retained for this time after its end. The time exceeds the clock skew between hosts, and
# REPEAT_WINDOW_US, within which an automatic cordon that has ended makes the worker's next one longer.
ENDED_RETENTION_US = DAY_US

MAX_DURATION_US = 366 * DAY_US  # from the time of the write to the end of a cordon, if it has an end
MAX_CLOCK_SKEW_US = 5 * MINUTE_US  # observations and times of lifts further in the future are ignored

# Margins added to the propagation bound. NTP slews a clock by at most 500 ppm, so the rates of two clocks
# differ by at most 1,000 ppm (CLOCK_DRIFT_SHARE). SEND_SLACK_US covers a send that the lease allowed and that
# is still on its way to the worker.
CLOCK_DRIFT_SHARE = 0.001
SEND_SLACK_US = 20_000
MAX_PROPAGATIONS = 1_024  # the number of changes whose propagation a process tracks
MAX_WAIT_US = 10 * MINUTE_US  # the longest time that an operator's call may wait for its change

# Automatic cordons: defaults of ``automatic.DetectionOptions`` and ``budget.Budget``.
DEFAULT_QUORUM = 3  # observers that must agree on a worker
FLEET_SHARE = 0.1  # maximum share of the fleet's workers with automatic cordons
ZONE_SHARE = 0.2  # maximum share of a zone's workers with automatic cordons
MAX_OBSERVATION_AGE_US = 30 * SECOND_US  # older observations are ignored
# An observer that reports a larger share of its workers as over a threshold is likely faulty itself.
MAX_OVER_THRESHOLD_SHARE = 0.25
# If a larger share of the workers in a fleet, zone, machine type or cell is unhealthy, the cause is common to
# the group, and cordons don't remove it.
COMMON_CAUSE_SHARE = 0.3
# Duration of a worker's automatic cordon if no other one of the worker ended within REPEAT_WINDOW_US before.
AUTOMATIC_DURATION_US = 5 * MINUTE_US
MAX_AUTOMATIC_DURATION_US = 80 * MINUTE_US  # the default duration, doubled four times
# After an operator has lifted an automatic cordon, its target gets no automatic cordon for this time.
LIFT_COOLDOWN_US = 15 * MINUTE_US
MIN_GROUP_SIZE = 4  # a group with fewer workers gets no baseline and is not checked for a common cause
PROPOSAL_TURN_US = SECOND_US // 2  # delay between the turns of two successive schedulers to propose a cordon
MAX_PROPOSAL_TURNS = 8  # number of schedulers with a turn of their own; all later ones share the next turn
# An automatic cordon that begins within this time after the end of the worker's previous automatic cordon
# lasts twice as long as the previous one, but at most MAX_AUTOMATIC_DURATION_US.
REPEAT_WINDOW_US = 2 * MAX_AUTOMATIC_DURATION_US
