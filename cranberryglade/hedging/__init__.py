"""Hedged requests: a second attempt for answers that are late."""
