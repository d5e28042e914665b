#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program of the deploy file: the
# stand-ins are Python and are only checked for syntax here, without writing files.
set -e
cd "$(dirname "$0")/.."
for f in review/lib2/*.py review/[6-9]/*.py review/10/*.py tests/mesh/standin.py \
	tests/mesh/fleet.py tests/mesh/nets.py tests/mesh/relay.py; do
	[ ! -f "$f" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
