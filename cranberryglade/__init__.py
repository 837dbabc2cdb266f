"""Cranberryglade schedules requests across heterogeneous engines."""
