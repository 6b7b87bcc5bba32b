"""The policies of the decision module: where and when each job runs. No I/O; the time is an argument."""
