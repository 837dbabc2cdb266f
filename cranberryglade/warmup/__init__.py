"""Requests that arrive while an instance starts."""
