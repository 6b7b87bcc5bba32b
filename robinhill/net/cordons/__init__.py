"""Cordons at one process: operators' calls, cordons in effect, and notifications to its dispatcher.

A scheduler that shares state with peers uses `actor`; a member of the control group uses `group_member`. Both
use `operator_calls`, `cordon_records` and `replies`; the other modules are each used by only one of the two.
"""
