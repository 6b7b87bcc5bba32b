"""The control group's state machines: voters replicate shared state, schedulers observe them. No I/O.

A voter (`voter`) is one replica of the state; a majority of voters accepts each change. A scheduler is an
observer (`observer`): it has a read replica, a lease that says how fresh it is, and no vote. Sockets, clocks
and disk are in `robinhill.net.control_group`.
"""
