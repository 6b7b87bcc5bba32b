"""Cordons mark workers that schedulers send no new attempts to. This package performs no I/O."""
