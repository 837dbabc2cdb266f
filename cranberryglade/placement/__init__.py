"""Choice of an endpoint: distance, present pace, cached prompt parts."""
