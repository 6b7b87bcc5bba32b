"""The control group's state machines on sockets: voters as processes, schedulers that observe them."""
