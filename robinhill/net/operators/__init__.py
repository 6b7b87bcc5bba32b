"""The operators' side: their calls, and the workers that they have disabled."""
