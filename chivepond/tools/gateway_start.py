"""Entry point of chivepond-gateway that imports without garbage collection.

This shortens the start after all gateways were killed, when callers are
refused until the first gateway listens. Garbage collections during the
imports and a full one after them took about 35 of the 180 ms of processor
time between the start and the first request.
"""

import gc
import importlib


def run() -> None:
    """Import the daemon without garbage collection, then run it.

    The daemon freezes the heap and enables the collector once it listens.
    """
    gc.disable()
    daemon = importlib.import_module('chivepond.tools.gateway_daemon')
    daemon.run()


if __name__ == '__main__':
    run()
