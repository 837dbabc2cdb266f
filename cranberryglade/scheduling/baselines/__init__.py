"""Baseline policies with which the default policy is compared."""
