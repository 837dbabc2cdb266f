"""Simple policies that the scheduler's own is compared with."""
