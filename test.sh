#!/usr/bin/env bash
# The whole test suite: formatting, vet, staticcheck (all its checks, see staticcheck.conf), tests, and the width of
# the policy files.
set -eu
cd "$(dirname "$0")"

max_columns=110

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'not formatted by gofmt:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race ./...

policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$policy" ] || { echo 'deploy/balancer.toml names no policy files'; exit 1; }
# A tab counts as four columns.
long=$(cat $policy | sed 's/\t/    /g' | awk -v m=$max_columns 'length($0) > m')
if [ -n "$long" ]; then
  printf 'lines over %s columns:\n%s\n' "$max_columns" "$long"
  exit 1
fi
