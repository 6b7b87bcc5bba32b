"""Replication between schedulers: records, replica, links, failure detector and leases.

Nothing here does I/O or reads a clock: callers pass the time as an argument.
"""
