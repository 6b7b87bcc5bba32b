"""Replication between schedulers: records, replica, links, failure detector, leases. No I/O; time is an
argument."""
