#!/bin/sh
# Plays a case: run.sh CASE FOLDER. Ends every process that the case has started, also if it is stopped itself.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
case=$1
folder=$2
root=$(cd "$folder/../.." && pwd) || exit 2
standin=$root/target/review-2/standin
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/sandgap" ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" | tee "$folder/record.txt" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
end() {
    kill "$player" 2>/dev/null
    [ -f "$temporary/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temporary/pids"
    rm -rf "$temporary"
}
trap 'end; exit 2' INT TERM HUP
rm -f "$folder/record.txt"
ROOT=$root TMPDIR=$temporary PIDS=$temporary/pids "$standin" "$case" "$folder" &
player=$!
wait "$player"
code=$?
end
[ "$code" -le 1 ] || code=2
exit "$code"
