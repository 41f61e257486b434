#!/usr/bin/env bash
# Mutation tests: applies each mutation of tools/mutations.txt, or those given by NAME, to a copy
# of the repository and runs the test that must then fail.
#
#   tools/mutate.sh [NAME...]
#
# Prints "killed", "survived" or "stale" for each. A mutation is stale if its lines do not occur
# exactly once or the mutated code does not pass go vet. Fails unless all are killed.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard -z '*.go' go.mod go.sum | xargs -0 cp --parents -t "$copy"

failed=0
name=""
play() {
	[ -n "$name" ] || return 0
	if [ ${#wanted[@]} -gt 0 ] && [[ " ${wanted[*]} " != *" $name "* ]]; then return 0; fi
	local verdict
	cp "$copy/$file" "$copy/original"
	if ! FROM=${from%$'\n'} TO=${to%$'\n'} perl -0777 -i -pe '$n = s/(?<![^\n])\Q$ENV{FROM}\E/$ENV{TO}/g; END { exit($n == 1 ? 0 : 1) }' "$copy/$file"; then
		verdict=stale
	elif ! (cd "$copy" && go vet "$package") >"$copy/out" 2>&1; then
		verdict=stale
	elif (cd "$copy" && go test -count=1 -timeout 120s -run "^$test\$" "$package") >"$copy/out" 2>&1; then
		verdict=survived
	elif grep -q "no tests to run" "$copy/out"; then
		verdict=survived
	else
		verdict=killed
	fi
	cp "$copy/original" "$copy/$file"
	[ "$verdict" = killed ] || failed=1
	echo "$verdict $name ($package $test)"
}

wanted=("$@")
while IFS= read -r line; do
	case $line in
	"## "*)
		play
		name=${line#"## "} file="" from="" to=""
		;;
	"#"* | "") ;;
	-*) from+=${line#-}$'\n' ;;
	+*) to+=${line#+}$'\n' ;;
	*) read -r file package test <<<"$line" ;;
	esac
done <tools/mutations.txt
play
exit $failed
