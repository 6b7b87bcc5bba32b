"""The policies of the decision module (robinhill.logic), which decide where and when each job runs.

The modules perform no I/O and read no clock: the time is an argument.
"""
