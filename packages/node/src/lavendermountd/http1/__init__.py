"""HTTP/1.1 messages on a stream, parsed by a library."""
