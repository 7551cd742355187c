#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy
# file. The stand-ins need Python 3.11 and its standard library only, so they are
# checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for file in [*pathlib.Path("lib-2").glob("*.py"),
             *(pathlib.Path(str(i)) / "case.py" for i in range(6, 11))]:
    if file.exists():
        compile(file.read_text(encoding="utf-8"), str(file), "exec")
END
