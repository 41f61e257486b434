#!/bin/bash
# Plays a finding that is not among the three cases; see claim.txt. With TROUBLE=0 the request is a sound one.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/madderway ] && [ -x target/review-2-scene ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'kill "$scene" 2>/dev/null; rm -rf "$dir"' EXIT
target/review-2-scene -case deadly -record review/more-2/deadly/record.txt -program target/madderway -dir "$dir" &
scene=$!
wait "$scene"
status=$?
[ -n "$KEEP_LOGS" ] && cp "$dir"/*.log "$KEEP_LOGS"
exit "$status"
