# Targets: run (main job), test (every check), fuzz (longer proofs), bench; for maintainers: generate, tools.
GO ?= go
BIN := bin
SOURCES := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build run test lint fuzz chaos bench generate tools clean
build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	bash scripts/run.sh

lint:
	@test -z "$$(gofmt -l $(SOURCES))" || { gofmt -l $(SOURCES); echo "gofmt: files above need formatting"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

test: lint
	bash scripts/test.sh

FUZZ_CHECKS ?= 2000
fuzz:
	BASILWOOD_FUZZ_SEED=0 BASILWOOD_FUZZ_CHECKS=$(FUZZ_CHECKS) $(GO) test -count=1 -timeout 6h -run Machine ./...

# chaos kills and freezes real processes; about 40 seconds.
chaos: build
	bash scripts/chaos.sh

bench:
	$(GO) test -run '^$$' -bench . -benchtime 1s ./...

generate:
	sh scripts/generate.sh

# tools installs what only maintainers need: gopls renames identifiers across packages.
GOPLS_VERSION := v0.23.0
tools:
	$(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

clean:
	rm -rf $(BIN)
