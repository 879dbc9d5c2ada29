#!/bin/sh
# Builds the stand-ins of the second review. They are Python 3 (3.11 or later) without packages, so
# there is nothing to compile: this checks that each one can be read. The project's own stand-ins
# are not started by these cases.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
files = sorted(pathlib.Path(".").glob("standins-2/*.py"))
files += [f for n in range(4, 9) for f in pathlib.Path(str(n)).glob("*.py")]
for file in files:
    compile(file.read_text(), str(file), "exec")
print("%d files of the stand-ins and cases can be read" % len(files))
END
