#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that use only
# the standard library; this checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "python3 3.11 or later is needed" >&2; exit 1; }
for File in common/*.py ?/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
done
