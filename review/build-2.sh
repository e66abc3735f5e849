#!/usr/bin/env bash
# Builds what the scripts of this review start besides the build of the deploy file. Their stand-ins are plain
# JavaScript modules in support-2, which need no build step; this checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for module in support-2/*.mjs [0-9]*/*.mjs; do
  if [ -e "$module" ]; then node --check "$module"; fi
done
echo "checked the modules of review/support-2"
