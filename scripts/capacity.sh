#!/bin/sh
# Measures the slopes of docs/CAPACITY.md: one entry at several numbers of
# agents, and one agent at several rates. Each process of the product runs on
# its own; sesamelift slope plays the other side. Prints one JSON object a run.
set -eu
dir=run/capacity
mkdir -p "$dir"
bin/sesamelift certs -dir "$dir/certs" >/dev/null
pids=""
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; for p in $pids; do wait "$p" 2>/dev/null || true; done' EXIT

start() { # start LOG COMMAND...
	log="$dir/$1.log"
	shift
	"$@" >"$log" 2>&1 &
	last=$!
	pids="$last $pids"
}

stop() { # stop PID
	kill "$1" 2>/dev/null || true
	wait "$1" 2>/dev/null || true
}

# settings EXAMPLE FILE: the example with the ports of this script.
settings() {
	sed -e 's#run/certs#run/capacity/certs#; s/127.0.0.1:17/127.0.0.1:19/' \
		-e 's/"level": "info"/"level": "error"/' -e 's/"operator_token"/"caller_requests_per_second": 100000, "operator_token"/' "$1" >"$2"
}
settings examples/cleft/entry-1.json "$dir/entry.json"
settings examples/cleft/agent-1.json "$dir/agent.json"

start platform bin/sesamelift standin platform -address 127.0.0.1:19300
bin/sesamelift demo wait -timeout 10s "http://127.0.0.1:19300/-/rows-get?table=sesamelift-roster&part="
bin/sesamelift slope sheet -agents 890 >"$dir/sheet.csv"
bin/sesamelift sheet apply -platform 127.0.0.1:19300 -timeout 0s "$dir/sheet.csv" >/dev/null

for agents in ${AGENTS-11 100 400 890}; do
	start "entry-$agents" bin/sesamelift-entry -settings "$dir/entry.json"
	entry=$last
	sleep 2
	bin/sesamelift slope entry -pid "$entry" -peer 127.0.0.1:19401 -callers 127.0.0.1:19400 -certs "$dir/certs" \
		-token kiln-demo-token-0001 -agents "$agents" -tasks 20 -jobs-per-second "${JOBS:-40}" -duration "${DURATION:-20s}"
	stop "$entry"
done

start backend bin/sesamelift standin backend -name cleft-01 -services cleft-assessor -address 127.0.0.1:19601 -agent 127.0.0.1:19501
for rate in ${RATES-95 200}; do
	start "agent-$rate" bin/sesamelift-agent -settings "$dir/agent.json"
	agent=$last
	bin/sesamelift slope agent -pid "$agent" -platform 127.0.0.1:19300 -certs "$dir/certs" -tasks-per-second "$rate" -duration "${DURATION:-20s}"
	stop "$agent"
done
