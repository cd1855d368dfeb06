GO ?= go

# Results are not taken from the cache: internal/processtest builds and runs programs, which the cache does not see.
# Tests listed in KNOWN-RED.txt fail because of known faults; they are printed and skipped.
# An entry may name a subtest, as in TestA/part. Go splits the pattern at | and at /.
known_red := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd' ')
skip_red := $(if $(known_red),-skip '$(shell sed -n 's/^test: //p' KNOWN-RED.txt | sed 's|/|$$/^|g; s|^|^|; s|$$|$$|' | paste -sd'|')')

.PHONY: build test race lint demo bench overload ci

build:
	$(GO) build -o bin/ ./cmd/...

test:
	@echo "known red, skipped: $(known_red)"
	$(GO) test -count=1 $(skip_red) ./...

race:
	@echo "known red, skipped: $(known_red)"
	$(GO) test -count=1 -race -short $(skip_red) ./...

lint:
	@files="$$(gofmt -l $$(git ls-files '*.go'))"; test -z "$$files" || { echo "not formatted: $$files"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The program is built first, so that an interrupt reaches it and not only "go run".
demo:
	$(GO) build -o bin/demo ./internal/demo
	bin/demo

# Prints tables; docs/MEASUREMENTS.md explains them. The fleet grows to 128 nodes in 7 processes; larger ones
# are asked for with bin/nodes run --part fleet --nodes 256.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
	$(GO) build -o bin/nodes ./internal/measure/nodes
	bin/nodes

# Floods and faults against the nodes of both examples as processes; about 8 minutes and up to 3 cores.
overload:
	$(GO) build -o bin/overload ./internal/measure/overload
	bin/overload

ci:
	bash .ci/run
