"""HTTP/1.1 messages and connections, parsed with ``httptools``."""
