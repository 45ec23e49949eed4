#!/bin/bash
# Builds what the scripts of review/4 and later start: the programs of deploy/system.toml, offline.
# The stand-ins (review/rig-2) are Python programs of the standard library and need no build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline -p endivedyke-platform
python3 -c 'import ast, pathlib
for path in ["review/rig-2/standins.py", *map(str, pathlib.Path("review").glob("*/case.py"))]:
    ast.parse(pathlib.Path(path).read_text())'
