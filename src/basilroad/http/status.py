"""Status codes of HTTP responses."""

BODILESS_STATUSES = (204, 304)
"""Status codes of responses that have no body."""


__all__ = ["BODILESS_STATUSES"]
