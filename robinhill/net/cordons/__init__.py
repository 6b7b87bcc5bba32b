"""Cordons at one process: operators' calls, what is in force here, what the dispatcher is notified of.

`actor` is the part of a scheduler that shares state with peers, `group_member` that of a member of the
control group. The other modules are theirs, or common to both (`operator_calls`, `cordon_records`,
`replies`).
"""
