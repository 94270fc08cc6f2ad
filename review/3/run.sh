#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
PYTHONDONTWRITEBYTECODE=1 timeout -k 2 119 python3 "$here/case.py"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
