"""Benchmarks that run on loopback and not in CI; each module is a command, and its ratios are of one run."""
