"""HTTP/1.1 client and server connections: h11 over Twisted."""
