"""Replication between schedulers: records, replica, links, failure detector and leases.

No module of this package does I/O or reads a clock: callers pass the time as an argument.
"""
