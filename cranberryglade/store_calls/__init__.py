"""What all calls to a store of rows have in common, whatever its words."""
