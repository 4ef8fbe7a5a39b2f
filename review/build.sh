#!/usr/bin/env bash
# Builds what the cases start: the program, by the command of the deploy file. The stand-ins are
# scripts for Python's standard library, which are only compiled here to find errors early.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p geranium_adapter
for file in review/*.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
