#!/usr/bin/env bash
# Builds what the cases start: the program, by the command of the deploy file, unless it is built
# already. The stand-ins are scripts for Python's standard library; they are only parsed here.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/release/geranium-entry ]; then
  cargo build --release --locked -p geranium_adapter
fi
for file in review/*.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
