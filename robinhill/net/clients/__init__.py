"""The clients' side: connections, their limits, and the requests on them."""
