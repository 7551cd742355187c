#!/usr/bin/env bash
# Prepares the stand-ins that the review's scripts start: the project's own in
# platform/tests and those of the cases. They are Python and are only compiled here, to
# check them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 - platform/tests/*.py tests/processes/support.py tests/processes/known_red.py \
  scripts/lib/masticwinch/*.py review/lib/*.py review/*/*.py <<'EOF'
import sys

for file in sys.argv[1:]:
    with open(file, encoding="utf-8") as source:
        compile(source.read(), file, "exec")
EOF
