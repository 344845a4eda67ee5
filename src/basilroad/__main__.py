"""Entry point of ``python -m basilroad``."""

from __future__ import annotations

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # The default action of SIGHUP (reload) would kill a gateway that is still importing modules.
    # Settings are read after the imports, so ignoring it loses no change.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from basilroad.run import run

if __name__ == "__main__":
    run()
