"""The scheduling core: maps events to actions, without I/O, clock or tasks."""
