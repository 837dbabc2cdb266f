"""The memory that a gateway holds for callers, endpoints and peers."""
