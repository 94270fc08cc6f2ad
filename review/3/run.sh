#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
export PYTHONDONTWRITEBYTECODE=1
command -v python3 >/dev/null || exit 2
exec python3 "$here/case.py"
