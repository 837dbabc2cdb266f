"""Replay of recorded traces against the scheduler core, in virtual time."""
