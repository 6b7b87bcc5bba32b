"""One actor for each worker, which runs its attempts, cancellations, health checks and connections."""
