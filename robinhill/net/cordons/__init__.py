"""Cordons at one process: operators' calls, the cordons in effect here, and notifications to the dispatcher.

A scheduler that shares state with peers uses `actor`; a member of the control group uses `group_member`. Both
use `operator_calls`, `cordon_records` and `replies`; each of the other modules belongs to one of them.
"""
