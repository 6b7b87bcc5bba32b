"""The HTTP server for clients: connections, their limits, and the requests on them."""
