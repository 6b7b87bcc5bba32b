"""The journal of events of a run, and checkers of the schedulers' rules that read the journal only."""
