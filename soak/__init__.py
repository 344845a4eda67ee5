"""Randomized faults against real gateway processes, checked from outside."""
