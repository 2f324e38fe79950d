#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules without dependencies: this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/case.mjs 10/case.mjs; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
