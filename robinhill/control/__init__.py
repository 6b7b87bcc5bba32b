"""The control group: a few voters hold what schedulers share, any number of schedulers observe. No I/O."""
