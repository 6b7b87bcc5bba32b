"""One actor for each worker: attempts, cancellations, health checks, connections."""
