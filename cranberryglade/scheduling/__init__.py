"""The decisions: typed events in, typed actions out, no I/O, clock or task."""
