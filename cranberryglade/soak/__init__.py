"""Randomized soak test: real gateways, injected faults, checked guarantees."""
