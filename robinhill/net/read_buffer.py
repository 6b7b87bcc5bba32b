"""One buffer for the reads of all connections.

asyncio allocates 256 KiB for each read of an ordinary protocol; a crowd of peers, or of errors that keep what
was read, would make that the size of each.
"""

# Of one read. The reads of a crowd in one iteration of the event loop delay others.
READ_BUFFER_BYTES = 16 * 1024

read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
