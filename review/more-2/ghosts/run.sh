#!/bin/bash
# Plays it; see claim.txt. TROUBLE=0 leaves the freezes out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/madderway ] && [ -x target/review-2-scene ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'kill "$scene" 2>/dev/null; rm -rf "$dir"' EXIT
target/review-2-scene -case ghosts -record review/more-2/ghosts/record.txt -program target/madderway -dir "$dir" &
scene=$!
wait "$scene"
status=$?
[ -n "$KEEP_LOGS" ] && cp "$dir"/*.log "$KEEP_LOGS"
exit "$status"
