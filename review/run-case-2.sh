#!/usr/bin/env bash
# run-case-2.sh N runs case N of the second review. Its program gets the root of the repository and the command `run` of the
# deploy file. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/$1" || exit 2
ROOT=$(cd ../.. && pwd) || exit 2
RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
[ -n "$RUN" ] && [ -x "$ROOT/bin/baylock" ] && [ -x "../bin/case-$1" ] || exit 2
exec timeout --kill-after=5 115 "../bin/case-$1"
