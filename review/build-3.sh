#!/bin/sh
# The programs and stand-ins of review/lib-3 are plain JavaScript without dependencies: nothing is built, only their syntax is checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-3/*.js review/1[1-5]/case.js; do
	[ -f "$file" ] || continue
	node --check "$file" || exit 1
done
