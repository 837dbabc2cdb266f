"""Small stand-ins for the systems around cranberryglade, with faults."""
