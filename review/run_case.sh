# Runs the program of the case whose run.sh sources this file. All processes that
# the program starts are killed when it ends.
case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
folder=$(mktemp -d) || exit 2
program="$root/target/review/case$(basename "$case_folder")"
[ -x "$program" ] || { echo "review/build.sh was not run"; rm -rf "$folder"; exit 2; }
timeout -k 1 117 "$program" "$root/target/bin/hornbeamspool" "$case_folder/record.txt" "$folder" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
result=$?
for log in "$folder"/gateway*.log; do
  [ -s "$log" ] || continue
  { echo "--- last lines of $(basename "$log")"; tail -n 5 "$log"; } >>"$case_folder/record.txt"
done
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
