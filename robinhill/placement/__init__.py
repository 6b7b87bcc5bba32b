"""Where and when each job runs: the parts of the decision module. No input or output; time is an argument."""
