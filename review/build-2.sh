#!/usr/bin/env bash
# Checks that the stand-ins of the second review's scripts can be compiled.
# They use the standard library of Python alone.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)' lab_2/lab.py [6-9]/case.py 10/case.p[y]
