"""Ladders of sizes: how costs grow with workers, schedulers, members and tenants.

    python -m benchmarks.scale PART [--sizes 10,100,1000]

Each part prints its ladder, a linear slope with its standard error and the exponent of growth.
``docs/CAPACITY.md`` is worked out from these slopes; ``tests/test_scale.py`` asserts the exponents.
"""
