#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../../.."
if [ ! -x review/bin/standins ] || [ ! -x target/madderway ]; then
	review/build.sh >&2 || exit 2
fi
exec review/bin/standins rest target/madderway "$here/record.txt"
