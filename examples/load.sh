#!/usr/bin/env bash
# Measures what the system itself costs: two daemons of two failure domains
# before one quick engine. Arguments go to eelgrasslock_standins.load.
set -euo pipefail
cd "$(dirname "$0")/.."
. examples/processes.sh

mkdir "$logs/deployment"
cat >"$logs/deployment/10-all.yaml" <<'YAML'
deployment: load
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
    batch_limit: 64
YAML

standin log log --port 19001
standin vms vms --port 19002
standin engine engine --port 19101 --batch-limit 64 --time-scale 0.0001
daemon examples/daemons/riga-a-1
daemon examples/daemons/riga-b-1
publish "$logs/deployment" http://127.0.0.1:18081

status=0
"$PYTHON" -m eelgrasslock_standins.load --engine http://127.0.0.1:19101 \
    --home http://127.0.0.1:18081 --other http://127.0.0.1:18083 \
    --log http://127.0.0.1:19001 --pid "${daemons[0]}" --pid "${daemons[1]}" "$@" &
client="$!"
wait "$client" || status="$?"
client=""
exit "$status"
