"""The scheduler on real sockets: actors around the decision module, and the platform's protocol."""
