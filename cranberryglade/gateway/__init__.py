"""Passes requests of callers on to endpoints and their answers back."""
