# Each target installs what it needs through Go's module proxy.

GO ?= go
BIN := bin
TEST_FLAGS ?= -race -tags lockcheck

.PHONY: all build test lint demo faults measure capacity generate fuzz

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Formatter, linters, vet, and all tests with the race and lock order checks.
test: lint
	$(GO) test $(TEST_FLAGS) ./...
	$(GO) test ./pkg/...

lint: $(BIN)/gofumpt $(BIN)/revive
	@files=$$($(BIN)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$files" ]; then echo "not formatted by gofumpt:"; echo "$$files"; exit 1; fi
	$(BIN)/revive -set_exit_status ./...
	$(GO) vet -tags lockcheck ./...

$(BIN)/gofumpt $(BIN)/revive: tools/lint/go.mod
	cd tools/lint && $(GO) build -o ../../$(BIN)/ mvdan.cc/gofumpt github.com/mgechev/revive

# A mesh of separate processes, end to end, in less than 45 s.
demo: build
	timeout 45 scripts/demo.sh

# The generated code is committed; only a change of the schema needs this.
generate:
	cd tools && $(GO) build -o ../$(BIN)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/buf generate
