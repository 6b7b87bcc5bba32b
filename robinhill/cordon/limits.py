"""The limits of cordons, each with its reason. Times are microseconds, ``_US``; shares are of 1."""

SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US
HOUR_US = 60 * MINUTE_US
DAY_US = 24 * HOUR_US

# What one may be called. An ID is a part of a URL's path; texts are one line of an operator's terminal.
MAX_ID = 128
MAX_TARGET = 512  # 'worker/' and an instance ID, with ample room
MAX_TEXT = 200
MAX_NAME = 128  # of who asked, an observer, a scheduler
MAX_CALL = 4_096  # bytes of a call's body: all texts at their longest, escaped
MAX_OBSERVERS = 16  # named in an automatic reason; more would only make the line longer

# A target. Honest writers stop at REASONS; what merges from many that wrote at once may exceed it, up to
# what a hostile peer could make us hold: beyond that its words are refused.
REASONS = 32
MAX_ENTRIES = 1_024
MAX_WRITERS = 2_048  # 200 schedulers, each started 10 times while one target was never without a cordon
MAX_RANGES = 4_096
MAX_NUMBER = 2**62  # Unix microseconds of the year 146,000; fits MessagePack and every file

TARGETS = 8_192  # one for each of 1,000 workers, eight generations of them
KEEP_US = 30 * DAY_US  # longer than anyone repairs a scheduler; what lasts longer is written anew in time
FORGET_ENDED_US = DAY_US  # past its end by more than clocks may differ and repeats are counted

MAX_END_US = 366 * DAY_US  # a later end is a slip of the pen: leave it out
CLOCKS_DIFFER_US = 5 * MINUTE_US  # what is from further in the future counts for nothing in evidence

# The bound. A monotonic clock runs wrong by less than 1 in 1,000 (NTP slews at most 500 ppm); a send that the
# lease allowed is on its way within the fixed part.
SLACK_SHARE = 0.001
SLACK_US = 20_000
PROMISES = 1_024  # calls that are followed at once
MAX_WAIT_US = 10 * MINUTE_US  # of one call; an operator that wants more asks again

# Automatic cordons; the defaults of ``automatic.Options``, for most fleets.
QUORUM = 3
FLEET_SHARE = 0.1
ZONE_SHARE = 0.2
AGE_US = 30 * SECOND_US  # evidence that is older tells of another time
ACCUSER_SHARE = 0.25  # who finds more of the fleet bad than this is badly placed itself
SHARED_SHARE = 0.3  # more suspects than this at once have a common cause that no cordon cures
AUTOMATIC_US = 5 * MINUTE_US
LONGEST_US = 80 * MINUTE_US  # of a worker that is bad again each time it returns: doubled four times
QUIET_US = 15 * MINUTE_US  # after an operator's lift of an automatic reason: the operator knows better
MIN_GROUP = 4  # a median of fewer is no standard
TURN_US = SECOND_US // 2  # after which the next scheduler may propose what the one before has not
TURNS = 8  # of schedulers in order; the rest come last, together
HELD_LAST_US = 2 * LONGEST_US  # a worker that is bad again within this of its last end is held for longer
