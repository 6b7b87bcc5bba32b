"""What happened in a run, as a list of events, and a checker of the rules that reads nothing else."""
