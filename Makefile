# Targets for developers. CI runs `make check` through .ci/run.
STATICCHECK = go tool -modfile=tools/go.mod staticcheck
MSGP        = go tool -modfile=tools/go.mod msgp

.PHONY: build check format lint vet test fuzz generate

build:
	go build -o bin/ ./cmd/...

check: format vet lint test fuzz

format:
	@files=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$files" ]; then echo "gofmt would change:"; echo "$$files"; exit 1; fi

vet:
	go vet ./...

lint:
	$(STATICCHECK) ./...

# Tests listed in KNOWN-RED.txt are passed over and printed.
test:
	sh scripts/test.sh

# A few seconds for each decoder of what other processes write.
fuzz:
	sh scripts/fuzz.sh

generate:
	cd wire && go tool -modfile=../tools/go.mod msgp -file messages.go -o messages_gen.go -tests=false -io=false
	cd link && go tool -modfile=../tools/go.mod msgp -file messages.go -o messages_gen.go -tests=false -io=false

# As demo, but serves until interrupted.
.PHONY: serve
serve: build
	sh scripts/demo.sh serve

# Builds the programs and runs both example deployments on loopback.
.PHONY: demo
demo: build
	sh scripts/demo.sh

# Runs the fault soak with fresh seeds; SEED=N plays one again.
.PHONY: soak
SEEDS ?= 10
SEED ?= 0
soak: build
	bin/sesamelift-soak -seeds $(SEEDS) -seed $(SEED)
