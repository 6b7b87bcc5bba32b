"""Cordons mark workers that schedulers send no new attempts to. No input or output in this package."""
