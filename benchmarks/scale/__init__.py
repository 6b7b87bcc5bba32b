"""Scaling benchmarks: the growth of costs with the numbers of workers, schedulers, gang members and tenants.

    python -m benchmarks.scale PART [--sizes 10,100,1000]

Each part prints the costs at several sizes, a linear slope with its standard error, and the exponent of
growth. The figures in ``docs/CAPACITY.md`` are computed from these slopes; ``tests/test_scale.py`` asserts
the exponents.
"""
