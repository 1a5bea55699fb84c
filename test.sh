#!/usr/bin/env bash
# Runs the whole test suite: formatting, vet, staticcheck (all checks, see staticcheck.conf), tests, and checks of
# the policy files: the files with the balancer's decisions, which deploy/balancer.toml lists under "policy". Tests in
# KNOWN-RED.txt may fail.
set -euo pipefail
cd "$(dirname "$0")"

max_columns=110
tab='    ' # counts as four columns

# Files of balancer/ that hold no decisions, so that "policy" need not list them: documentation, types, settings, and
# records of what was counted and learned.
no_decisions=(balancer/{doc,settings,events,host,validate,time,timer_token,request,class,endpoints}.go
  balancer/{window,decaying_count,timeline,report,reconfigure,handover}.go)

fail() {
  printf '%s:\n' "$1"
  printf '  %s\n' "${@:2}"
  exit 1
}

check_formatting() {
  local files
  files=$(gofmt -l .)
  [ -z "$files" ] || fail 'not formatted by gofmt' "$files"
}

# decision_files prints the non-test files of balancer/ that hold decisions.
decision_files() {
  local file
  for file in balancer/*.go; do
    [[ $file == *_test.go || " ${no_decisions[*]} " == *" $file "* ]] || echo "$file"
  done
}

check_policy() {
  local policy file missing=() long
  read -r -a policy <<<"$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')"
  [ ${#policy[@]} -gt 0 ] || fail 'no policy files' deploy/balancer.toml

  for file in "${policy[@]}"; do
    [ -f "$file" ] || missing+=("$file")
  done
  [ ${#missing[@]} -eq 0 ] || fail 'policy files that do not exist' "${missing[@]}"

  for file in $(decision_files); do
    [[ " ${policy[*]} " == *" $file "* ]] || missing+=("$file")
  done
  [ ${#missing[@]} -eq 0 ] || fail 'files of decisions that policy does not name' "${missing[@]}"

  long=$(sed "s/\t/$tab/g" "${policy[@]}" | awk -v max=$max_columns 'length($0) > max')
  [ -z "$long" ] || fail "lines over $max_columns columns" "$long"
}

# known_red prints the tests of KNOWN-RED.txt, one a line with its package.
known_red() {
  [ ! -f KNOWN-RED.txt ] || sed -n 's/^\(Test[A-Za-z0-9_]* [^ ]*\)$/\1/p' KNOWN-RED.txt
}

# run_tests runs all tests, and fails unless those that are not in KNOWN-RED.txt pass.
run_tests() {
  local names name package files output result
  while read -r name package; do # go test skips by name alone, so the name must be that of one test
    files=$(grep -rl "^func $name(" --include='*_test.go' . || true)
    [ "$(dirname "$files")" = "$package" ] || fail "KNOWN-RED.txt: $name has to be one test, in $package" "$files"
  done < <(known_red)
  names=$(known_red | cut -d' ' -f1 | paste -sd'|')
  go test -race -skip "^($names)\$" ./... # "^()$" skips none
  while read -r name package; do
    result=passed
    output=$(go test -race -run "^$name\$" "$package" 2>&1) || result=failed
    echo "known red: $name in $package $result"
    [ $result = passed ] || sed 's/^/  | /' <<<"$output"
  done < <(known_red)
}

check_formatting
go vet ./...
go tool staticcheck ./...
run_tests
check_policy
