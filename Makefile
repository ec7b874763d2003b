SHELL := /bin/bash
GO ?= go
BIN := bin

.PHONY: demo build test format vet lint unit generate evaluate clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: format vet lint build unit

format:
	@test -z "$$(gofmt -l . | tee /dev/stderr)" || { echo "gofmt would change the files above" >&2; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# knownred passes over just the tests that KNOWN-RED.txt lists, and prints them.
unit:
	$(GO) test -json -count=1 -timeout 300s ./... | $(BIN)/knownred --list KNOWN-RED.txt

# demo starts everything as separate processes on loopback and checks it.
demo: build
	scripts/demo.sh

generate:
	PATH="$$($(GO) env GOPATH)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative $$(git ls-files '*.proto')

# evaluate measures the policies beside their baselines.
SEED ?= 20261203
evaluate:
	$(GO) build -o $(BIN)/eelgrass-load ./cmd/eelgrass-load
	$(BIN)/eelgrass-load evaluate --seed $(SEED) workloads/lakeshore.hujson workloads/laufzeit.hujson

clean:
	rm -rf $(BIN) out
