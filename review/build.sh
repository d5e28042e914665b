#!/bin/sh
# Checks the stand-ins that the cases start. They are Python programs (the project's tests/mesh
# and review/), so nothing is compiled; python3 is the only tool that they need.
set -e
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import ast
import glob
for path in glob.glob("review/lib/*.py") + glob.glob("review/*/case.py") + glob.glob("tests/mesh/*.py"):
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
EOF
test -x target/lwproxy || { echo "build target/lwproxy first (deploy/system.toml)" >&2; exit 1; }
