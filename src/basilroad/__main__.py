"""Entry point of ``python -m basilroad``."""

from __future__ import annotations

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # The default action of SIGHUP (reload) would kill a gateway that is still importing modules.
    # Settings are read after the imports, so ignoring it loses no change.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    if sys.argv[1:] == ["gateway"]:
        # Without the modules of the other commands a gateway restarts in half the time.
        from basilroad.cli.gateway import run_gateway

        run_gateway(None)
    else:
        from basilroad.run import run

        run()
