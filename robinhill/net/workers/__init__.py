"""One actor for each worker: it owns the attempts, cancels, health checks and connections at that worker."""
