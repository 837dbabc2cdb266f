"""Rollouts of a software version: canary, verdict, promotion, rollback."""
