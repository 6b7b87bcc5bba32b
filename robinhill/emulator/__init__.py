"""Emulators on loopback for what a scheduler meets: workers, discovery and clients, and a checker of the
rules.

They speak the platform's protocol on real sockets and are used by the demo, by tests and by measurements; the
scheduler itself imports nothing from here.
"""
