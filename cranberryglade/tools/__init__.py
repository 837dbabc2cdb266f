"""The command line and the programs beside the daemon."""
