# Each target installs what it needs through Go's module proxy.

GO ?= go
BIN := bin
TEST_FLAGS ?= -race -tags lockcheck

.PHONY: all build test lint demo faults measure capacity bench fuzz generate

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Formatter, linters, vet, and all tests with the race and lock order checks.
test: lint
	$(GO) test $(TEST_FLAGS) ./...
	$(GO) test ./pkg/... ./internal/emulate
	$(GO) test -run TestSpread ./internal/sidecar

lint: $(BIN)/gofumpt $(BIN)/revive
	@files=$$($(BIN)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$files" ]; then echo "not formatted by gofumpt:"; echo "$$files"; exit 1; fi
	$(BIN)/revive -set_exit_status ./...
	$(GO) vet -tags lockcheck ./...

$(BIN)/gofumpt $(BIN)/revive: tools/lint/go.mod
	cd tools/lint && $(GO) build -o ../../$(BIN)/ mvdan.cc/gofumpt github.com/mgechev/revive

# Renames identifiers and all their uses: bin/gopls rename -w FILE:LINE:COLUMN NAME.
$(BIN)/gopls: tools/gopls/go.mod
	cd tools/gopls && $(GO) build -o ../../$(BIN)/ golang.org/x/tools/gopls

# A mesh of separate processes, end to end, in less than 45 s.
demo: build
	timeout 45 scripts/demo.sh

# The generated code is committed; only a change of the schema needs this.
generate:
	cd tools && $(GO) build -o ../$(BIN)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/buf generate

# Real processes killed, stopped and cut off; exits non-zero on a broken promise.
faults: build
	$(GO) test -count=1 -tags timed -run TestTimed ./internal/mesh
	timeout 300 scripts/faults.sh

# The brief's four measures for both deployments, the naive version beside.
measure: build
	timeout 400 scripts/measure.sh

# The slopes of docs/CAPACITY.md.
capacity: build
	timeout 900 scripts/capacity.sh
	timeout 120 scripts/loans.sh

# What two daemons add to a call, beside a direct one and plain forwarders.
bench:
	$(GO) test ./internal/mesh -run none -bench Added -benchtime 5000x -cpu 4
	$(GO) test ./pkg/... -run none -bench .

# Longer histories with random seeds; a failure prints its seed.
fuzz:
	LYCHEEHEAD_FUZZ=40 $(GO) test -count=1 ./pkg/...
