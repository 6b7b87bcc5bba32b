"""The control group's members on sockets: voters as processes, and schedulers that observe them.

The state machines are in `robinhill.control`; the modules here own sockets, clocks and disk.
"""
