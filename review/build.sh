#!/usr/bin/env bash
# The stand-ins are Python 3.11 scripts that use its standard library alone: nothing to build.
set -eu
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
