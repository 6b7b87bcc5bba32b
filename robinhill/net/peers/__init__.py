"""Links to the other schedulers, and the records replicated over them, in memory and on disk."""
