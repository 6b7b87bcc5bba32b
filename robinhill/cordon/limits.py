"""Limits and defaults of cordons. Times are microseconds (``_US``), shares are fractions of 1."""

SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US
HOUR_US = 60 * MINUTE_US
DAY_US = 24 * HOUR_US

# Operator input. An ID is part of a URL's path; a text is shown on one line of a terminal.
MAX_ID_CHARS = 128
MAX_TARGET_CHARS = 512  # the longest targets are 'worker/' followed by an instance ID
MAX_TEXT_CHARS = 200
MAX_NAME_CHARS = 128  # for the name of an operator, an observer or a scheduler
MAX_BODY_BYTES = 4_096  # fits a request whose texts all have their maximum length and are escaped
MAX_OBSERVERS = 16  # how many observers an automatic reason names

# Limits of one target. A writer adds no reason beyond MAX_REASONS. A merge of concurrent writes may exceed
# MAX_REASONS, but a value from a peer that exceeds one of the limits below it is rejected.
MAX_REASONS = 32
MAX_ENTRIES = 1_024
MAX_WRITERS = 2_048  # 200 schedulers, each started 10 times while one target was never without a cordon
MAX_RANGES = 4_096
MAX_INTEGER = 2**62  # as Unix microseconds, the year 146,000; fits an integer of MessagePack

MAX_TARGETS = 8_192  # 1,000 workers with eight generations of instance IDs each
RECORD_LIFETIME_US = 30 * DAY_US  # the record of a cordon that lasts longer is renewed before it expires
# How long reasons that have ended are retained. This covers clock skew, and REPEAT_WINDOW_US, within which an
# automatic cordon that has ended makes the next one of the worker longer.
ENDED_RETENTION_US = DAY_US

MAX_DURATION_US = 366 * DAY_US
MAX_CLOCK_SKEW_US = 5 * MINUTE_US  # observations dated further into the future are ignored

# Margins added to the propagation bound. NTP slews a clock by at most 500 ppm. SEND_SLACK_US covers a send
# that the lease allowed and that is still on its way to the worker.
CLOCK_DRIFT_SHARE = 0.001
SEND_SLACK_US = 20_000
MAX_PROPAGATIONS = 1_024
MAX_WAIT_US = 10 * MINUTE_US

# Automatic cordons: defaults of ``automatic.DetectionOptions`` and ``budget.Budget``.
DEFAULT_QUORUM = 3
FLEET_SHARE = 0.1
ZONE_SHARE = 0.2
MAX_OBSERVATION_AGE_US = 30 * SECOND_US
# An observer that reports a larger share of its workers beyond a threshold is likely faulty itself.
MAX_OVER_THRESHOLD_SHARE = 0.25
# If a larger share of a group is unhealthy, the cause is common to the group and cordons don't remove it.
COMMON_CAUSE_SHARE = 0.3
AUTOMATIC_DURATION_US = 5 * MINUTE_US
MAX_AUTOMATIC_DURATION_US = 80 * MINUTE_US  # the default duration, doubled four times
LIFT_COOLDOWN_US = 15 * MINUTE_US  # no automatic cordon this soon after an operator lifted one
MIN_GROUP_SIZE = 4  # the median of a smaller group is not used as a baseline
PROPOSAL_TURN_US = SECOND_US // 2  # delay between the turns of two schedulers to propose the same cordon
MAX_PROPOSAL_TURNS = 8  # all schedulers further back in the order share the turn after these
# An automatic cordon that begins this soon after the worker's last one ended has a longer duration.
REPEAT_WINDOW_US = 2 * MAX_AUTOMATIC_DURATION_US
