#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs only a C compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]*/case.c; do
    number=$(basename "$(dirname "$source")")
    "${CC:-cc}" -std=gnu11 -Wall -Wextra -O2 -pthread -o "review/bin/case-$number" \
        review/common/harness.c "$source"
done
