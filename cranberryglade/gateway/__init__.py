"""Gateway that forwards requests of callers to endpoints."""
