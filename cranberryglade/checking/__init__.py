"""A model of a request's life, and its exploration."""
