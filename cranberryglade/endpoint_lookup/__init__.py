"""Endpoints that are granted to an instance before it has listed them."""
