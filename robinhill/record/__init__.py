"""Traffic recordings: the framed, versioned, compressed file format, its records, and the writer."""
