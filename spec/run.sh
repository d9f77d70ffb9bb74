#!/usr/bin/env bash
# Checks the models listed in spec/models.txt, one "model mutation..." a line:
# each model must hold and each mutation must be found failing. Needs spin and
# gcc. Prints a table; exits 1 if a model fails or a mutation passes.
set -uo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
depth=1000000
bad=0

# check MODEL MUTATION prints "errors states depth".
check() {
  local dir="$work/$1-${2:-none}"
  mkdir -p "$dir"
  (cd "$dir" && spin -a ${2:+-D"$2"} "$OLDPWD/$1.pml" >spin.out 2>&1 &&
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c &&
    ./pan -E -m$depth >pan.out 2>&1) || { echo "broken 0 0"; return; }
  if grep -q 'max search depth too small\|out of memory\|Search not completed' "$dir/pan.out" && grep -q 'errors: 0' "$dir/pan.out"; then
    echo "incomplete 0 0"
    return
  fi
  sed -n 's/.*depth reached \([0-9]*\), errors: \([0-9]*\).*/\1 \2/p; s/ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out" |
    tr '\n' ' ' | awk '{print $2, $3, $1}'
}

printf '%-12s %-18s %10s %7s  %s\n' model mutation states depth result
while read -r model mutations; do
  [[ -z $model || $model == \#* ]] && continue
  for mutation in "" $mutations; do
    read -r errors states reached <<<"$(check "$model" "$mutation")"
    result=broken
    if [[ -z $mutation && $errors == 0 ]]; then result=holds
    elif [[ -n $mutation && $errors =~ ^[1-9] ]]; then result="found failing"
    elif [[ -n $mutation && $errors == 0 ]]; then result="MUTATION PASSES"; bad=1
    else result="FAILS ($errors)"; bad=1; fi
    printf '%-12s %-18s %10s %7s  %s\n' "$model" "${mutation:--}" "$states" "$reached" "$result"
  done
done <models.txt
exit $bad
