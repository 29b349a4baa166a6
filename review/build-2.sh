#!/usr/bin/env bash
# Builds the stand-ins of cases 6, 7, 8 and 10; case 9 is a day of the bench. They are Python (a package that scripts/setup declares)
# with its standard library alone, so that there is nothing to compile; this checks that they can be read. The scripts start
# the programs that the build of the deploy file has put into target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 - support-2/standins.py 6/case.py 7/case.py 8/case.py 10/case.py <<'PY'
import ast
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
