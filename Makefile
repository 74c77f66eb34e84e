GO ?= go
BIN ?= bin
SEED ?= 1
PROGRAMS := sesame-keeper sesame-gate sesamectl sesame-fake sesame-load sesame-bench
LINT := $(GO) tool -modfile=tools/go.mod staticcheck

.PHONY: build test race lint format-check vet demo prove bench check-cgo

build:
	CGO_ENABLED=1 $(GO) build -o $(BIN)/ ./cmd/...

# Every test, and every test again under the race detector.
test:
	$(GO) test -count=1 ./...
	$(GO) test -count=1 -race ./...

format-check:
	@test -z "$$(gofmt -l cmd pkg)" || { gofmt -l cmd pkg; echo "run gofmt -w on the files above"; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(LINT) ./...

# The binaries link the C library.
check-cgo: build
	@for p in $(PROGRAMS); do ldd $(BIN)/$$p | grep -q libc || { echo "$$p does not link the C library"; exit 1; }; done

demo: build
	BIN=$(BIN) bash scripts/demo.sh

# The fault matrix, one row for each promise, fault and step. The rows run in
# virtual time, which only test binaries have.
prove:
	$(GO) test -c -o $(BIN)/prove.test ./pkg/prove/matrix
	$(BIN)/prove.test -matrix -seed $(SEED) -test.timeout 20m

bench: build
	BIN=$(BIN) bash scripts/bench.sh
