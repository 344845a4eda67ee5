"""Randomized fault injection against real gateway processes, checked from outside."""
