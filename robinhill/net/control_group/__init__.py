"""The processes of the control group: voters, and schedulers that observe them.

The state machines are in `robinhill.control`; the modules here own sockets, clocks and files.
"""
