"""Cranberryglade schedules requests over engines that are not alike."""
