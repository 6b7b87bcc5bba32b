"""The HTTP server for clients and for workers' callbacks: connections, their limits, and their requests."""
