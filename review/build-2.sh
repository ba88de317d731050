#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the programs of the deploy file: stand-ins in Python, which only
# need to be readable by the interpreter.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-2/*.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
