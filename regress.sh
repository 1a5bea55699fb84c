#!/usr/bin/env bash
# Scores the programs with the operators' kit, which runs each quick scenario, one after the other. This takes some ten
# minutes on eight idle cores. KIT names the folder of the kit. The fleet's close-range scenario has a random seed, which
# is printed; SEED repeats it. The script fails on a broken rule, a crash, a failed start, a failed gate or a missing
# score, but not on a low score. Commit the journal entries of the runs as they are.
set -u
cd "$(dirname "$0")" || exit

kit=${KIT:-../given/kit}
site=$kit/sites/larissa-main.toml
why=${1:-Regression run of the quick days}
seed=${SEED:-$((RANDOM * 32768 + RANDOM))}
failures=()

if [ ! -f "$site" ] || [ ! -x "$kit/more/ops/bin/lbreal" ]; then
  echo "regress.sh: no kit at $kit (KIT names another folder); nothing was run"
  exit 2
fi

# score NAME COMMAND... runs one scenario and records its failure.
score() {
  local name=$1 output status
  shift
  echo "== $name"
  output=$("$@" --why "$why" 2>&1)
  status=$?
  printf '%s\n' "$output"
  if [ $status -ne 0 ]; then
    failures+=("$name: exit status $status")
  elif grep -qE 'BROKEN|RULE|FAULT|crashed|GATE failed|not ready after' <<<"$output"; then
    failures+=("$name: a rule, a fault or the gate")
  elif ! grep -qE '^(score of the real nodes|larissa-main|site figure|GATE passed)|[0-9]\.[0-9]{3}' <<<"$output"; then
    failures+=("$name: no score")
  fi
}

score 'scenarios of the operators' "$kit/more/ops/bin/lbreal" score "$site" --quick
score 'earlier scenarios of the operators' "$kit/more/ops/bin/lbreal" score "$site" --panel later --quick
score 'fleet' "$kit/more/mass/bin/lbreal" score "$site" --quick
score "fleet at close range, seed $seed" "$kit/more/mass/bin/lbreal" score "$site" --panel brink --seed "$seed"
score 'real nodes' "$kit/real/bin/lbreal" score "$site" --quick
score 'simulator' "$kit/bin/lbsim" score "$site" --quick

if [ ${#failures[@]} -gt 0 ]; then
  printf 'regress.sh FAILED\n'
  printf '  %s\n' "${failures[@]}"
  exit 1
fi
echo 'regress.sh: all scenarios were run; no rule broken, no crash, gate passed'
