#!/usr/bin/env bash
# Checks the models with spin: each property must hold on the model and fail on
# its mutants. Prints the number of explored states.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL PROPERTY holds|fails [MUTANT]. PROPERTY is the name of an ltl formula, or "assert".
check() {
	local model=$1 property=$2 expect=$3 define=${4:-} flags=()
	local dir="$work/$model-$property-${define:-whole}"
	mkdir -p "$dir"
	cp "$model.pml" "$dir/"
	(
		cd "$dir"
		spin ${define:+-D$define} -a "$model.pml" >spin.log 2>&1 || { cat spin.log; exit 1; }
		if [ "$property" = assert ]; then
			cc -O2 -w -DNOCLAIM -DVECTORSZ=4096 -o pan pan.c && flags=()
			./pan -m200000 -w24 >pan.log 2>&1 || true
		else
			cc -O2 -w -DVECTORSZ=4096 -o pan pan.c
			./pan -a -N "$property" -m200000 -w24 >pan.log 2>&1 || true
		fi
	)
	local errors states
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log" | head -1)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log" | head -1)
	if grep -q 'max search depth too small' "$dir/pan.log"; then
		echo "FAIL $model $property ${define:-}: search was cut off"; return 1
	fi
	local verdict=holds
	[ "${errors:-x}" = 0 ] || verdict=fails
	[ -n "${errors:-}" ] || { echo "FAIL $model $property: no result"; tail -5 "$dir/pan.log"; return 1; }
	printf '%-8s %-13s %-19s %-6s %s states\n' "$model" "$property" "${define:-(whole)}" "$verdict" "$states"
	[ "$verdict" = "$expect" ] || { echo "FAIL: expected that it $expect"; return 1; }
}

check claim assert holds
check claim at_most_once holds
check claim at_most_once fails SEND_BEFORE_INSERT
check claim at_most_once fails TRUST_LEASE
check claim at_most_once fails NO_READBACK
check head once holds
check head truth holds
check head assert holds FOLLOW
check head truth fails NO_OPERATION_ROW
check head truth fails BLIND_WRITE
check head assert fails LAST_HEARD
check attempt truth holds
check attempt once holds
check attempt one holds
check attempt truth fails REFUSE_AFTER_SEND
check attempt once fails RETRY_ALWAYS
check attempt one fails RESUME_UNCUT
check versions assert holds
check versions assert fails LAST_HEARD
check versions assert fails LATE_ANSWER
echo "all models checked"
