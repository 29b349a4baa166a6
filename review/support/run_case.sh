# Runs a case: sourced by run.sh with `name` set to the case. The files of the processes go to a temporary folder.
set -uo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/crocuscove" ] && [ -x "$root/review/build/standins" ] || exit 2
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
rm -f "$here/record.txt"
timeout --kill-after=2 110 "$root/review/build/standins" case "$name" "$root/target/crocuscove" "$folder" "$here/record.txt"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
[ "$result" -le 1 ] || result=2
exit "$result"
