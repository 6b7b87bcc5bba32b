"""Limits and defaults of cordons. Times are microseconds (``_US``), shares are fractions of 1."""

SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US
HOUR_US = 60 * MINUTE_US
DAY_US = 24 * HOUR_US

# Input of operators. An ID is part of a URL's path; texts are shown on one line of a terminal.
MAX_ID_CHARS = 128
MAX_TARGET_CHARS = 512  # 'worker/' and an instance ID
MAX_TEXT_CHARS = 200
MAX_NAME_CHARS = 128  # of an operator, an observer or a scheduler
MAX_BODY_BYTES = 4_096  # all texts at their longest, escaped
MAX_OBSERVERS = 16  # named in an automatic reason

# One target. Writers stop at MAX_REASONS; a merge of concurrent writes may exceed it, up to the limits below,
# beyond which a peer's value is rejected.
MAX_REASONS = 32
MAX_ENTRIES = 1_024
MAX_WRITERS = 2_048  # 200 schedulers, each started 10 times while one target was never without a cordon
MAX_RANGES = 4_096
MAX_INTEGER = 2**62  # Unix microseconds of the year 146,000; fits MessagePack

MAX_TARGETS = 8_192  # 1,000 workers, eight generations of each
RECORD_LIFETIME_US = 30 * DAY_US  # cordons that last longer are renewed in time
ENDED_RETENTION_US = DAY_US  # covers clock skew and the count of repeated automatic cordons

MAX_DURATION_US = 366 * DAY_US
MAX_CLOCK_SKEW_US = 5 * MINUTE_US  # evidence from further in the future is ignored

# The propagation bound. NTP slews a clock by at most 500 ppm; a send that the lease allowed may still be on
# its way for the fixed part.
CLOCK_DRIFT_SHARE = 0.001
SEND_SLACK_US = 20_000
MAX_PROPAGATIONS = 1_024
MAX_WAIT_US = 10 * MINUTE_US

# Automatic cordons: defaults of ``automatic.DetectionOptions`` and ``budget.Budget``.
DEFAULT_QUORUM = 3
FLEET_SHARE = 0.1
ZONE_SHARE = 0.2
MAX_OBSERVATION_AGE_US = 30 * SECOND_US
MAX_ACCUSED_SHARE = 0.25  # an observer that finds more of the workers bad is at fault itself
COMMON_CAUSE_SHARE = 0.3  # a cordon does not cure what more of a group than this has in common
AUTOMATIC_DURATION_US = 5 * MINUTE_US
MAX_AUTOMATIC_DURATION_US = 80 * MINUTE_US  # the default duration, doubled four times
LIFT_COOLDOWN_US = 15 * MINUTE_US  # after an operator lifted an automatic cordon
MIN_GROUP_SIZE = 4  # a median of fewer is no baseline
PROPOSAL_TURN_US = SECOND_US // 2  # between one scheduler's turn to propose and the next one's
MAX_PROPOSAL_TURNS = 8  # schedulers further back propose together
REPEAT_WINDOW_US = 2 * MAX_AUTOMATIC_DURATION_US  # a cordon within this of the last one's end lasts longer
