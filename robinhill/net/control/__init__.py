"""The control group on sockets: voters as processes of their own, schedulers that observe them."""
