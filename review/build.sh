#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain modules for Node.js without dependencies, so there is only their syntax to check.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
