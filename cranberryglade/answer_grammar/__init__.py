"""What the grammar of HTTP/1.1 allows as an answer (RFC 9110, RFC 9112)."""
