"""Links to the other schedulers and what is replicated over them, in memory and on disk."""
