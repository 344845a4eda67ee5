"""Start by ``python -m basilroad``."""

from __future__ import annotations

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # by default a reload would end a gateway that is still importing; it reads its settings later
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from basilroad.run import run

if __name__ == "__main__":
    run()
