"""Status codes of HTTP responses."""

FINAL_STATUSES = range(200, 600)
"""Status codes of final responses; RFC 9110 defines no class of codes beyond them."""

BODILESS_STATUSES = (204, 304)
"""Status codes of responses that have no body."""


__all__ = ["BODILESS_STATUSES", "FINAL_STATUSES"]
