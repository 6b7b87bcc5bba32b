"""Measurements on loopback, outside CI: each module is one command that prints ratios taken in one run."""
