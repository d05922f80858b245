#!/usr/bin/env bash
# Measures turns under a healthy, slow and lost log, and a takeover in a domain
# of two daemons. Arguments go to eelgrasslock_standins.failover.
set -euo pipefail
cd "$(dirname "$0")/.."
. examples/processes.sh

mkdir "$logs/deployment"
cat >"$logs/deployment/10-all.yaml" <<'YAML'
deployment: failover
domains: [riga-a, riga-b]
services:
  hydro-llm: {kind: engine}
models:
  hydro-draft: {service: hydro-llm}
endpoints:
  hydro-a-1:
    service: hydro-llm
    domain: riga-a
    url: http://127.0.0.1:19101
YAML

standin log log --port 19001
standin vms vms --port 19002
standin engine engine --port 19101 --time-scale 0.0001
daemon examples/daemons/riga-a-1
daemon examples/daemons/riga-a-2
daemon examples/daemons/riga-b-1
publish "$logs/deployment" http://127.0.0.1:18081
sleep 3

status=0
"$PYTHON" -m eelgrasslock_standins.failover --home http://127.0.0.1:18081 \
    --other http://127.0.0.1:18082 --log http://127.0.0.1:19001 \
    --pid "${daemons[0]}" "$@" &
client="$!"
wait "$client" || status="$?"
client=""
exit "$status"
