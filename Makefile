SHELL := /bin/bash
GO ?= go
BIN := bin

.PHONY: demo build test format vet lint unit generate evaluate capacity clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: format vet lint build unit

format:
	@test -z "$$(gofmt -l . | tee /dev/stderr)" || { echo "gofmt would change the files above" >&2; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# unit runs all tests. knownred prints the failures that KNOWN-RED.txt lists and
# fails on any other.
unit:
	$(GO) test -json -count=1 -timeout 600s ./... | $(BIN)/knownred --list KNOWN-RED.txt

# demo runs the whole system as separate processes on loopback and checks it.
demo: build
	scripts/demo.sh

generate:
	PATH="$$($(GO) env GOPATH)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative $$(git ls-files '*.proto')

# evaluate compares the policies with their baselines on two workloads.
SEED ?= 20261203
evaluate:
	$(GO) build -o $(BIN)/eelgrass-load ./cmd/eelgrass-load
	$(BIN)/eelgrass-load evaluate --seed $(SEED) workloads/lakeshore.hujson workloads/laufzeit.hujson

# capacity prints the control plane overhead of the entry instances at the planned
# size of workloads/plan.hujson. It extrapolates from benchmarks and from processes
# that it runs on loopback, and takes two minutes.
CAPACITY_BENCHMARKS := config docsync inventory keys limit placement placement/ledger route
capacity: build
	mkdir -p out
	$(GO) test -run xxx -bench . -benchtime 0.2s $(CAPACITY_BENCHMARKS:%=./internal/%) >out/capacity-benchmarks.txt
	scripts/capacity.sh out/capacity
	$(BIN)/eelgrass-capacity --benchmarks out/capacity-benchmarks.txt out/capacity

clean:
	rm -rf $(BIN) out
