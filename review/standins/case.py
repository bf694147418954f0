"""Runs a scenario; whatever keeps it from running ends with 2, not 1."""

import runpy
import sys
import traceback

try:
    runpy.run_path('scenario.py', run_name='__main__')
except SystemExit:
    raise
except BaseException:
    traceback.print_exc()
    sys.exit(2)
