"""Scheduling decisions: maps events to actions without I/O, clock or tasks."""
