"""Detection of stragglers in gangs of jobs. Decisions only: no input or output."""
