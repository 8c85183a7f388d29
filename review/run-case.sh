#!/usr/bin/env bash
# Plays one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 the case is played without the disruption.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$2" && pwd)
cd "$root" || exit 2
for program in target/review/standins target/release/rhubarbthread-node; do
  [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
temporary=$(mktemp -d) || exit 2

# Ends the processes that this case has started and that still run.
clean_up() {
  [ -n "${player:-}" ] && kill "$player" 2>/dev/null
  while read -r pid; do
    grep -qs rhubarbthread-node "/proc/$pid/cmdline" && kill -KILL "$pid"
  done <"$temporary/pids"
  rm -rf "$temporary"
}
touch "$temporary/pids"
trap clean_up EXIT
trap 'exit 2' INT TERM

timeout 110 target/review/standins "$1" "$folder" "$temporary" &
player=$!
wait "$player"
code=$?
player=
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
