#!/bin/sh
# Prepares the cases of this folder. Run it after the build of the deploy file.
# All stand-ins are Python scripts in review/lib and in the cases' folders, which
# need nothing but Python's standard library; so this only checks them.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [1-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
