#!/usr/bin/env bash
# Starts the stand-ins and five daemons of the Riga example, runs a handful of
# agent programs, and kills one daemon in the middle. Ends all it has started.
set -euo pipefail
cd "$(dirname "$0")/.."
. examples/processes.sh

KILL_AFTER_SECONDS="${KILL_AFTER_SECONDS:-12}"
daemon_urls=()

echo "demo: logs are in $logs"
echo "demo: starting the log, the VM list, the weight store, 10 engines, 1 service"
standin log log --port 19001
standin vms vms --port 19002 --file examples/demo-vms.yaml
standin weights weights --port 19003
for number in $(seq 1 10); do
    fencing=--checks-fencing
    [ "$number" -ge 8 ] && fencing=
    # shellcheck disable=SC2086
    standin "engine-$number" engine --port "$((19100 + number))" \
        --name "engine-$number" --batch-limit 8 --seed "$number" $fencing
done
standin licence-app service --name licence-app --slow 0.05 \
    --port 19201 --port 19202 --port 19203 --port 19204 --port 19205

echo "demo: starting five daemons in three failure domains"
port=18081
for name in riga-a-1 riga-a-2 riga-b-1 riga-b-2 riga-c-1; do
    daemon "examples/daemons/$name"
    daemon_urls+=(--daemon "http://127.0.0.1:$port")
    port=$((port + 1))
done

echo "demo: publishing examples/riga"
publish examples/riga http://127.0.0.1:18081

"$PYTHON" -m eelgrasslock_standins.demo "${daemon_urls[@]}" \
    --service http://127.0.0.1:19201 &
client="$!"

for _ in $(seq "$KILL_AFTER_SECONDS"); do
    sleep 1
    alive "$client" || break
done
victim="${daemons[1]}"
echo "demo: killing the daemon riga-a-2 (pid $victim)"
kill -9 "$victim"
wait "$victim" 2>/dev/null || true
unset 'daemons[1]'

status=0
wait "$client" || status="$?"
client=""
if [ "$status" -eq 0 ]; then
    echo "demo: all programs finished, each posting made exactly once"
else
    echo "demo: something went wrong; see $logs"
fi
exit "$status"
