#!/bin/sh
# Runs both example deployments on loopback: a platform stand-in, two entries
# and three agents with backend servers in three availability zones each. It
# applies the sheets, submits the example jobs, prints each answer and a summary
# line, and ends every process that it started.
set -u
mkdir -p run/logs
pids=""
platforms=""

start() { # start LOG COMMAND...
	log=run/logs/$1.log
	shift
	"$@" >"$log" 2>&1 &
	pids="$pids $!"
}

stop() { # stop PID...
	for p in "$@"; do kill "$p" 2>/dev/null; done
	for p in "$@"; do wait "$p" 2>/dev/null; done
}

# The platform stays until entries and agents have signed off there.
finish() {
	code=$?
	trap - EXIT INT TERM
	stop $pids
	stop $platforms
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

deployment() { # deployment NAME BASE_PORT WORKER SERVICE SPEED...
	name=$1 base=$2 worker=$3 service=$4
	shift 4
	bin/sesamelift standin platform -address 127.0.0.1:$((base + 300)) >"run/logs/$name-platform.log" 2>&1 &
	platforms="$platforms $!"
	bin/sesamelift demo wait -timeout 10s "http://127.0.0.1:$((base + 300))/-/rows-get?table=sesamelift-roster&part=" || exit 1
	bin/sesamelift sheet apply -platform 127.0.0.1:$((base + 300)) -timeout 0s "examples/$name/sheet.csv" || exit 1
	for i in 1 2; do
		start "$name-entry-$i" bin/sesamelift-entry -settings "examples/$name/entry-$i.json"
	done
	i=0
	for speed in "$@"; do
		i=$((i + 1))
		start "$name-agent-$i" bin/sesamelift-agent -settings "examples/$name/agent-$i.json"
		start "$name-backend-$i" bin/sesamelift standin backend -name "$worker-0$i" -services "$service" -speed "$speed" \
			-address 127.0.0.1:$((base + 600 + i)) -agent 127.0.0.1:$((base + 500 + i))
	done
}

bin/sesamelift certs -dir run/certs || exit 1
deployment cleft 17000 cleft cleft-assessor 1.0 1.4 0.7
deployment abay 18000 abay dispatch 1.0 1.6 0.8

bin/sesamelift demo run -workers 3 -operator-token operator-demo-token-0001 \
	-entries 127.0.0.1:17400,127.0.0.1:17410 -settings examples/cleft/entry-1.json examples/cleft/jobs/*.json || exit 1
bin/sesamelift demo run -workers 3 -operator-token operator-demo-token-0001 \
	-entries 127.0.0.1:18400,127.0.0.1:18410 -settings examples/abay/entry-1.json examples/abay/jobs/*.json || exit 1
echo "demo: every answer is complete"
if [ "${1:-}" = serve ]; then
	echo "serving until interrupted; status pages: http://127.0.0.1:17400/status http://127.0.0.1:18400/status"
	wait
fi
