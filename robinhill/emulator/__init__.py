"""Emulated workers, discovery and clients on the loopback interface, and rigs that inject faults.

The emulators speak the platform's protocol over real sockets. The demo, tests and benchmarks use them; the
scheduler itself imports nothing from this package.
"""
