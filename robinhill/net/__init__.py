"""The scheduler on real sockets: actors round the decision module, and the platform's protocol."""
