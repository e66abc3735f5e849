#!/usr/bin/env bash
# The stand-ins and clients of the cases are plain Node.js modules in review/support, so there is nothing to compile;
# each of them is checked for syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/case.mjs; do node --check "$file"; done
