"""Domain objects: hosts, endpoints, models, workspaces and ranks."""
