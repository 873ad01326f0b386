# Each target builds the tools that it needs from modules of the Go module proxy.

GO ?= go
BIN := bin
TEST_FLAGS ?= -race -tags lockcheck

.PHONY: all build test lint demo faults soak soak-short soak-seeds measure capacity bench fuzz generate

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs the formatter, the linters, vet, all tests with the race detector and the lock order
# checks, and a short soak.
test: lint
	$(GO) test $(TEST_FLAGS) ./...
	$(GO) test ./pkg/... ./internal/emulate
	$(GO) test -run TestSpread ./internal/sidecar
	$(MAKE) soak-short

lint: $(BIN)/gofumpt $(BIN)/revive
	@files=$$($(BIN)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$files" ]; then echo "not formatted by gofumpt:"; echo "$$files"; exit 1; fi
	$(BIN)/revive -set_exit_status ./...
	$(GO) vet -tags lockcheck ./...

$(BIN)/gofumpt $(BIN)/revive: tools/lint/go.mod
	cd tools/lint && $(GO) build -o ../../$(BIN)/ mvdan.cc/gofumpt github.com/mgechev/revive

# gopls renames an identifier with all its uses: bin/gopls rename -w FILE:LINE:COLUMN NAME.
$(BIN)/gopls: tools/gopls/go.mod
	cd tools/gopls && $(GO) build -o ../../$(BIN)/ golang.org/x/tools/gopls

# Demonstrates a mesh of separate processes, end to end, in less than 45 s.
demo: build
	timeout 45 scripts/demo.sh

# Generates code from the schema. The generated code is committed, so this is needed only
# after a change of the schema.
generate:
	cd tools && $(GO) build -o ../$(BIN)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/buf generate

# Kills, stops and disconnects separate processes. Fails if a guarantee was violated.
faults: build
	$(GO) test -count=1 -tags timed -run TestTimed ./internal/mesh
	timeout 300 scripts/faults.sh

# Runs the sidecar daemon as separate processes under disruptions that follow from SEED, and
# checks the rules for requests: make soak SEED=7 SIZE=12 SECONDS=60 CALLERS=40 PAUSE=20ms.
# LANES limits the kinds of disruptions, such as LANES=stops,settings.
SEED ?= 1
SIZE ?= 12
SECONDS ?= 60
CALLERS ?= 6
PAUSE ?= 200ms
soak:
	$(GO) build -ldflags=-linkmode=external -o target/ ./cmd/lycheehead ./cmd/soak
	target/soak --seed $(SEED) --size $(SIZE) --length $(SECONDS)s --callers $(CALLERS) --pause $(PAUSE) $(if $(LANES),--lanes $(LANES))

# Plays short soaks of daemons with a fault, which the rules must find, and of the program. It
# takes a minute.
soak-short:
	$(GO) test -count=1 -tags soak -run 'TestFakes|TestShort' ./internal/soak

# Plays the soaks that once broke a rule.
soak-seeds:
	$(GO) test -count=1 -timeout 60m -tags soak -run TestSeeds ./internal/soak

# Takes the four measurements of docs/MEASURES.md for both deployments, in comparison
# with the naive policies.
measure: build
	timeout 400 scripts/measure.sh

# Measures the slopes of docs/CAPACITY.md.
capacity: build
	timeout 900 scripts/capacity.sh
	timeout 120 scripts/loans.sh

# Measures the latency that two daemons add to a request, in comparison with a direct
# request and with plain forwarders.
bench:
	$(GO) test ./internal/mesh -run none -bench Added -benchtime 5000x -cpu 4
	$(GO) test ./pkg/... -run none -bench .

# Runs the property tests with more iterations and random seeds. A failure prints its
# seed.
fuzz:
	LYCHEEHEAD_FUZZ=40 $(GO) test -count=1 ./pkg/...
