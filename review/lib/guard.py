"""Runs a case. Whatever keeps it from running is exit code 2; Python itself would exit with 1, which says "broken"."""
import os
import runpy
import sys
import traceback

try:
    runpy.run_path(os.path.join(os.getcwd(), "case.py"), run_name="__main__")
except SystemExit:
    raise
except BaseException:  # pylint: disable=broad-except
    traceback.print_exc()
    sys.exit(2)
