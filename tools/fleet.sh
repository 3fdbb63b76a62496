# Functions that write the settings of a small fleet and run its processes. Sourced by tools/demo
# and the end-to-end tests. Needs: BUILD (build folder), WORK (folder for settings and logs),
# BASE (first port). Every process started is remembered in PIDS and ended by stop_fleet.

declare -A PIDS=()
: "${CREDENTIAL:=clinic-secret}"
: "${TRACE_OUTPUT:=}"

port() { echo $((BASE + $1)); }
publisher_port() { port 0; }
entry_port() { port $((10 + 2 * $1)); }
entry_inner() { port $((11 + 2 * $1)); }
agent_inner() { port $((40 + 3 * $1)); }
agent_admin() { port $((41 + 3 * $1)); }
backend_port() { port $((42 + 3 * $1)); }

# start NAME PROGRAM SETTINGS: runs a process with its log in WORK.
start() {
    "$BUILD/src/app/$2" --settings="$3" >"$WORK/$1.out" 2>>"$WORK/$1.log" &
    PIDS[$1]=$!
}

# write_manifest VERSION ENGINES SERVICES [JQ_FILTER]: agents 1..ENGINES stand beside engines, the
# next SERVICES beside booking services.
write_manifest() {
    local digest
    digest=$("$BUILD/src/app/marjoram-ctl" digest "$CREDENTIAL")
    local huge
    huge=$("$BUILD/src/app/marjoram-ctl" digest city-secret)
    jq -n --argjson version "$1" --argjson engines "$2" --argjson services "$3" \
        --arg digest "$digest" --arg huge "$huge" '
    {format: 1, version: $version,
     ranks: {urgent: {least_share: 0.5, first_token_ms: 490, deadline_ms: 10000},
             standard: {least_share: 0.2, first_token_ms: 3000, deadline_ms: 60000}},
     teams: [{name: "clinic", weight: 1, highest_rank: "urgent", credential_sha256: [$digest]},
             {name: "city-office", weight: 1, highest_rank: "standard",
              credential_sha256: [$huge]}],
     models: [{name: "briefing", version: "1", context_tokens: 32768, max_output_tokens: 16384,
               replicas: $engines, adapters: [{name: "hospital", version: "1"}]}],
     services: [{name: "booking", idempotent: false, rank: "urgent", timeout_ms: 5000,
                 placements: [[range($engines + 1; $engines + $services + 1) | "host-\(.)"]]},
                {name: "availability", idempotent: true, rank: "urgent", timeout_ms: 5000,
                 placements: [[range($engines + 1; $engines + $services + 1) | "host-\(.)"]]}],
     backend_servers: [range(1; $engines + $services + 1) |
         {host: "host-\(.)", kind: (if . <= $engines then "engine" else "service" end),
          data_centre: (if . % 2 == 0 then "fukuoka" else "oita" end), checks_fence: true}],
     weight_store: {loads_per_minute: 600}}
    | if $services == 0 then .services = [] else . end' | jq "${4:-.}" >"$WORK/manifest.json"
}

# write_hosts VERSION ENTRIES AGENTS [JQ_FILTER]
write_hosts() {
    local entries=() agents=() i
    for ((i = 1; i <= $2; i++)); do
        entries+=("{\"host\":\"entry-$i\",\"role\":\"entry\",\"data_centre\":\"fukuoka\",\"inner\":\"127.0.0.1:$(entry_inner "$i")\"}")
    done
    for ((i = 1; i <= $3; i++)); do
        agents+=("{\"host\":\"host-$i\",\"role\":\"agent\",\"data_centre\":\"fukuoka\",\"inner\":\"127.0.0.1:$(agent_inner "$i")\"}")
    done
    printf '%s\n' "${entries[@]}" "${agents[@]}" \
        | jq -s --argjson version "$1" '{version: $version, hosts: .}' \
        | jq "${4:-.}" >"$WORK/hosts.json"
}

publish() { curl -sf -X POST --data-binary "@$WORK/$1.json" "http://127.0.0.1:$(publisher_port)/control/$1" >/dev/null; }

start_publisher() {
    jq -n --arg listen "127.0.0.1:$(publisher_port)" --arg work "$WORK" \
        '{role: "publisher", listen: $listen, manifest_file: ($work + "/manifest.json"),
          hosts_file: ($work + "/hosts.json")}' >"$WORK/publisher.settings.json"
    start publisher marjoram-standin "$WORK/publisher.settings.json"
}

# start_backend NUMBER ROLE [JQ_FILTER]
start_backend() {
    jq -n --arg role "$2" --arg listen "127.0.0.1:$(backend_port "$1")" \
        '{role: $role, listen: $listen}' | jq "${3:-.}" >"$WORK/backend-$1.settings.json"
    start "backend-$1" marjoram-standin "$WORK/backend-$1.settings.json"
}

# start_agent NUMBER KIND [JQ_FILTER]
start_agent() {
    jq -n --arg host "host-$1" --arg kind "$2" --arg inner "127.0.0.1:$(agent_inner "$1")" \
        --arg admin "127.0.0.1:$(agent_admin "$1")" \
        --arg backend "127.0.0.1:$(backend_port "$1")" \
        --arg publisher "127.0.0.1:$(publisher_port)" --arg trace "$TRACE_OUTPUT" '
        {host: $host, data_centre: "fukuoka", kind: $kind, inner_listen: $inner,
         admin_listen: $admin, backend_server: $backend, configuration_service: $publisher,
         host_list: $publisher, trace_output: $trace, clock_skew_ms: 100}' \
        | jq "${3:-.}" >"$WORK/agent-$1.settings.json"
    start "agent-$1" marjoram-agent "$WORK/agent-$1.settings.json"
}

# start_entry NUMBER [JQ_FILTER]
start_entry() {
    jq -n --arg host "entry-$1" --arg callers "127.0.0.1:$(entry_port "$1")" \
        --arg inner "127.0.0.1:$(entry_inner "$1")" \
        --arg publisher "127.0.0.1:$(publisher_port)" --arg trace "$TRACE_OUTPUT" '
        {host: $host, data_centre: "fukuoka", callers_listen: $callers, inner_listen: $inner,
         configuration_service: $publisher, host_list: $publisher, trace_output: $trace}' \
        | jq "${2:-.}" >"$WORK/entry-$1.settings.json"
    start "entry-$1" marjoram-entry "$WORK/entry-$1.settings.json"
}

# await SECONDS COMMAND...: waits for a condition, not for a time.
await() {
    local left=$(($1 * 20))
    shift
    until "$@" >/dev/null 2>&1; do
        left=$((left - 1))
        if [ "$left" -le 0 ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        read -rt 0.05 <> <(:) || :
    done
}

entry_ready() { curl -sf "http://127.0.0.1:$(entry_port "$1")/readyz"; }
entry_metric() { curl -sf "http://127.0.0.1:$(entry_port "$1")/metrics" | awk -v n="marjoram_$2" '$1 == n {print $2}'; }
agent_metric() { curl -sf "http://127.0.0.1:$(agent_admin "$1")/metrics" | awk -v n="marjoram_$2" '$1 == n {print $2}'; }
agents_connected() { [ "$(entry_metric "$1" agents_connected)" = "$2" ]; }
backend_count() { curl -sf "http://127.0.0.1:$(backend_port "$1")/control/counts" | jq -r ".$2"; }
control_backend() { curl -sf -X POST -d "$2" "http://127.0.0.1:$(backend_port "$1")/control" >/dev/null; }
model_served() { complete_once "$1" '[len=1]' | jq -e '.choices[0].text'; }

complete_once() {
    curl -s "http://127.0.0.1:$(entry_port "$1")/v1/completions" \
        -H "Authorization: Bearer $CREDENTIAL" -H 'X-Marjoram-Rank: urgent' \
        -d "{\"model\":\"briefing\",\"prompt\":\"$2\"}"
}

# start_fleet ENTRIES ENGINES SERVICES
start_fleet() {
    local i
    write_manifest 1 "$2" "$3"
    write_hosts 1 "$1" $(($2 + $3))
    start_publisher
    for ((i = 1; i <= $2; i++)); do
        start_backend "$i" engine "${ENGINE_FILTER:-.}"
        start_agent "$i" engine "${AGENT_FILTER:-.}"
    done
    for ((i = $2 + 1; i <= $2 + $3; i++)); do
        start_backend "$i" service
        start_agent "$i" service "${AGENT_FILTER:-.}"
    done
    for ((i = 1; i <= $1; i++)); do
        start_entry "$i" "${ENTRY_FILTER:-.}"
    done
    for ((i = 1; i <= $1; i++)); do
        await 20 entry_ready "$i" || return 1
        await 20 agents_connected "$i" $(($2 + $3)) || return 1
        await 20 model_served "$i" || return 1
    done
}

stop_process() {
    kill -"${2:-TERM}" "${PIDS[$1]}" 2>/dev/null || :
    wait "${PIDS[$1]}" 2>/dev/null || :
    unset "PIDS[$1]"
}

stop_fleet() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2>/dev/null || :
        kill -KILL "${PIDS[$name]}" 2>/dev/null || :
    done
    wait 2>/dev/null || :
    PIDS=()
}
