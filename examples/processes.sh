# Starting processes from a shell script, and ending them all with it.
# Sourced by the scripts next to it.

PYTHON="${PYTHON:-python}"
logs="$(mktemp -d)"
standins=()
daemons=()
client=""

alive() {
    for pid in "$@"; do
        kill -0 "$pid" 2>/dev/null && return 0
    done
    return 1
}

# Ask processes to end, wait some seconds, and kill what is left.
stop() {
    [ "$#" -eq 0 ] && return
    kill "$@" 2>/dev/null || true
    for _ in $(seq 100); do
        alive "$@" || break
        sleep 0.1
    done
    alive "$@" && kill -9 "$@" 2>/dev/null || true
    wait "$@" 2>/dev/null || true
}

# Daemons end before the platform, so that they can leave in order.
stop_all() {
    status="$?"
    trap - EXIT INT TERM
    [ -n "$client" ] && stop "$client"
    stop "${daemons[@]}"
    stop "${standins[@]}"
    [ "$status" -eq 0 ] && rm -r "$logs"
    exit "$status"
}

start() {
    local name="$1"
    shift
    "$PYTHON" -m "$@" >"$logs/$name.out" 2>"$logs/$name.err" &
}

standin() {
    local name="$1"
    shift
    start "$name" eelgrasslock_standins.main "$@"
    standins+=("$!")
}

daemon() {
    start "$(basename "$1")" eelgrasslock.daemon --settings "$1"
    daemons+=("$!")
}

# Publish a folder through one daemon, as soon as it takes it.
publish() {
    local folder="$logs/published"
    cp -r "$1" "$folder"
    for _ in $(seq 60); do
        if "$PYTHON" -m eelgrasslock.operators.cli publish "$folder" --daemon "$2" \
            >"$logs/publish.out" 2>&1; then
            return 0
        fi
        sleep 0.5
    done
    echo "could not publish $1:"
    cat "$logs/publish.out"
    return 1
}

trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
