"""Settings of the claims."""

from __future__ import annotations

import attrs


@attrs.frozen
class ClaimsSettings:
    """Settings of the claims.

    :param batch_s: seconds for which writes are batched
    :param batch_limit: maximum writes per commit
    :param commits_limit: maximum concurrent commits
    :param retry_s: seconds before a claim is retried, and before the first retry of an outcome
    :param write_s: timeout of one write in seconds
    :param body_limit: maximum response body size, in bytes, that is stored
    :param outcomes_limit: maximum outcomes queued for writing
    :param outcome_bytes_limit: maximum total bytes of bodies queued for writing
    :param outcome_retry_s: maximum seconds between retries of an outcome; the wait doubles
    :param flush_s: seconds that a shutdown waits for outcomes to be written
    :param abandoned_limit: maximum abandoned claims remembered
    :param abandoned_s: seconds for which an abandoned claim is remembered
    :param clean_s: seconds between two cleanups of abandoned claims
    :param clean_limit: maximum abandoned claims handled per cleanup
    """

    batch_s: float = 0.01
    batch_limit: int = 100
    commits_limit: int = 4
    retry_s: float = 0.05
    write_s: float = 2.0
    body_limit: int = 64 * 1024
    outcomes_limit: int = 1000
    outcome_bytes_limit: int = 4 * 1024 * 1024
    outcome_retry_s: float = 5.0
    flush_s: float = 5.0
    abandoned_limit: int = 1000
    abandoned_s: float = 60.0
    clean_s: float = 1.0
    clean_limit: int = 20


__all__ = ["ClaimsSettings"]
