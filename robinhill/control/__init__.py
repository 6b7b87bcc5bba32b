"""The control group's state machines: voters replicate shared state, schedulers observe them. No I/O.

A voter (`voter`) holds one replica of the state; a change is accepted once a majority of voters has stored
it. A scheduler is an observer (`observer`): it has a read replica, a lease that bounds the replica's age, and
no vote. `robinhill.net.control_group` provides the sockets, clocks and disk.
"""
