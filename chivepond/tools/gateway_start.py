"""chivepond-gateway, started without the collection of garbage.

Guards against a slow start after all processes were killed: callers are turned
away until the first gateway listens. Collections while modules load, and a
whole one after them, took about 35 of the 180 ms of processor time from the
start to the first request, timed on one machine.
"""

import gc
import importlib


def run() -> None:
    """Load the program, keep what was loaded, and run it."""
    gc.disable()
    daemon = importlib.import_module('chivepond.tools.gateway_daemon')
    daemon.run()


if __name__ == '__main__':
    run()
