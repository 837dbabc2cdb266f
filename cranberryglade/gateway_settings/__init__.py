"""The operators' settings file of a gateway: its sections, and its reader."""
