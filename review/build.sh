#!/bin/sh
# The stand-ins are Python programs without dependencies; this only checks that
# they can run.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import ast, glob
for path in glob.glob("standins/*.py") + glob.glob("[1-5]/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)'
