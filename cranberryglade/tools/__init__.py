"""The command line and the programs used alongside the daemon."""
