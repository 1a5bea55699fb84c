#!/usr/bin/env bash
# Plays the operators' days, the fleet's at close range (brink, on a seed that it prints; SEED=N plays another time the
# same) and then the earlier ones, each by its quick score, one after the other (some ten minutes on eight cores, which
# nothing else may use). Fails on a broken rule, a crash, a failed start or a failed gate; a score
# fails nothing. The journal that the plays leave is to be committed as it is.
set -u
cd "$(dirname "$0")"
kit=${KIT:-../given/kit}
site=$kit/sites/larissa-main.toml
if [ ! -f "$site" ] || [ ! -x "$kit/more/ops/bin/lbreal" ]; then
  echo "regress.sh: the operators' kit is not at $kit; nothing was played (KIT names another place)"
  exit 2
fi
why=${1:-Regression run of the quick days}
failed=()
play() {
  local name=$1 out status
  shift
  echo "== $name"
  out=$("$@" --why "$why" 2>&1)
  status=$?
  printf '%s\n' "$out"
  if [ $status -ne 0 ]; then
    failed+=("$name: ended with $status")
  elif grep -qE 'BROKEN|RULE|FAULT|crashed|GATE failed|not ready after' <<<"$out"; then
    failed+=("$name: a rule, a fault or the gate")
  elif ! grep -qE '^(score of the real nodes|larissa-main|site figure|GATE passed)|[0-9]\.[0-9]{3}' <<<"$out"; then
    failed+=("$name: no score was printed")
  fi
}
play 'operators'"'"' days' "$kit/more/ops/bin/lbreal" score "$site" --quick
play 'earlier days on the operators'"'"' bench' "$kit/more/ops/bin/lbreal" score "$site" --panel later --quick
play 'fleet' "$kit/more/mass/bin/lbreal" score "$site" --quick
seed=${SEED:-$((RANDOM * 32768 + RANDOM))}
play "fleet at close range, seed $seed" "$kit/more/mass/bin/lbreal" score "$site" --panel brink --seed "$seed"
play 'real nodes' "$kit/real/bin/lbreal" score "$site" --quick
play 'simulator' "$kit/bin/lbsim" score "$site" --quick
if [ ${#failed[@]} -gt 0 ]; then
  printf 'regress.sh FAILED\n'
  printf '  %s\n' "${failed[@]}"
  exit 1
fi
echo 'regress.sh: all days were played; no rule broken, no crash, gate passed'
