"""The control group's state machines: voters replicate shared state, and schedulers observe the voters.

A voter (`voter`) holds one replica of the state; a change is accepted once a majority of voters has stored
it. A scheduler is an observer (`observer`): it has a replica of its own, a lease that bounds the replica's
age, and no vote. This package performs no I/O; `robinhill.net.control_group` provides the sockets, clocks and
disk.
"""
