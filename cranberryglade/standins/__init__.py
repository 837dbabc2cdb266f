"""Stand-ins for the systems around cranberryglade, with injectable faults."""
