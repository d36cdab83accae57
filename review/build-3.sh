#!/bin/sh
# Checks that the stand-ins of review 3 compile; they need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
python3 -B - <<'PY'
import ast
from pathlib import Path

for path in sorted(Path('review/common-3').glob('*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
for number in range(11, 16):
    for path in sorted(Path(f'review/{number}').glob('*.py')):
        ast.parse(path.read_text(encoding='utf-8'), str(path))
PY
