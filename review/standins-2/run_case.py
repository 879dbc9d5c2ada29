"""Runs the play.py of a case. What isn't a result of the case ends with status 2."""
import pathlib
import runpy
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except SystemExit:
    raise
except BaseException:  # pylint: disable=broad-except
    traceback.print_exc()
    sys.exit(2)
