"""The server for operators' calls, and the store of the workers that operators have disabled."""
