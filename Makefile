# The one list of commands. `make help` prints it.

SHELL := bash
GO ?= go
BIN := $(CURDIR)/.bin
GOLANGCI_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0
GOPLS_VERSION := v0.23.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_GO_GRPC_VERSION := v1.6.2
OWN_GO = $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -v -e '^gen/' -e '\.pb\.go$$')

.PHONY: help
help: ## print this list
	@grep -E '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 12

.PHONY: build
build: ## build azurechute and azurechute-standin into .bin/
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

.PHONY: test
test: ## run every test, with the race detector where it works
	@failed=0; \
	$(GO) test -count=1 ./internal/chutegate || failed=1; \
	$(GO) test -race -count=1 -timeout 20m ./... || failed=1; \
	exit $$failed

.PHONY: proofs
proofs: ## run the proofs of docs/PROOFS.md, a line for each part and a count
	@$(GO) test -race -count=1 -timeout 15m -run '^TestProof' -v ./internal/chuteproof/ \
		| grep -E '^(proof|FAIL|panic|--- FAIL|--- PASS|ok )' \
		| awk '/^--- PASS/ {held++; next} {print} /^--- FAIL/ {broken++} \
			END {printf "proofs: %d held, %d broken\n", held, broken}'; exit $${PIPESTATUS[0]}

.PHONY: demo
demo: build ## serve the Kura example through separate processes and check every answer
	@sh examples/demo.sh $(BIN)

.PHONY: measure
measure: build ## measure the policy against the baseline: make measure SCENARIO=name
	@bash examples/measure.sh $(BIN) $(SCENARIO)

.PHONY: bench
bench: ## run the benchmarks with allocations
	$(GO) test -run '^$$' -bench . -benchmem ./internal/... ./platform/...

.PHONY: soak
soak: ## faults from outside on separate processes: make soak SEEDS=50 SECONDS=10 FIRST=1000
	$(GO) test -count=1 -timeout 60m -run TestSoak -v ./platform -soak.seeds=$(or $(SEEDS),10) -soak.seconds=$(or $(SECONDS),10) -soak.first=$(or $(FIRST),1)

# Where the users' kit is unpacked; CI has none.
KIT ?= ../given/kit/more/system
SITES_SMALL := sites/kura-forum sites/okh-katalogus further/smra-registro
HUNT_GROWN := shifted/kura-forum-now-grown further-grown/smra-registro-grown grown/kura-forum-grown grown/okh-katalogus-grown
NEWCOMERS := newcomers/lintas-klang-grown newcomers/knobelwerk-chute-grown demands/faellespraemie-grown demands/yillik-ankara-grown

# A day is one process a VM: some 65 to 82 of them and 1.5 GB on the grown sites, 195 and 4 GB
# on the large one. Days at a time are kept to a few hundred processes and half of the memory.
.PHONY: regression
regression: ## the users' days before a landing: scores of the large and the small sites, the sweep, hunts on all; needs the kit
	@test -x $(KIT)/bin/fleetbench || { echo "no kit at $(KIT): nothing is played"; exit 0; }; \
	play=$$(ls $(KIT)/more/bench-d17393/bin/fleetbench); \
	$$play score $(KIT)/shifted/kura-forum-now-grown.toml --jobs 3 --why "regression: the shifted deployment"; \
	$$play sweep $(KIT)/shifted/kura-forum-now-grown.toml --jobs 1 --why "regression: sweep"; \
	$$play score $(KIT)/large/kura-forum-large.toml --jobs 1 --why "regression: the large deployment"; \
	$$play sweep $(KIT)/large/kura-forum-large.toml --jobs 1 --why "regression: sweep"; \
	for site in $(SITES_SMALL); do $$play score $(KIT)/$$site.toml --jobs 4 --why "regression: standard days"; \
		$$play hunt $(KIT)/$$site.toml --days 40 --jobs 4 --why "regression: hunt"; done; \
	for site in $(HUNT_GROWN); do $$play hunt $(KIT)/$$site.toml --days 8 --jobs 3 --why "regression: hunt"; done; \
	for site in $(NEWCOMERS); do $$play score $(KIT)/$$site.toml --jobs 3 --why "regression: standard days"; \
		$$play sweep $(KIT)/$$site.toml --jobs 1 --why "regression: sweep"; \
		$$play hunt $(KIT)/$$site.toml --days 8 --jobs 3 --why "regression: hunt"; done; \
	$$play hunt $(KIT)/large/kura-forum-large.toml --days 8 --jobs 1 --why "regression: hunt"; \
	$$play score $(KIT)/fleet/kura-forum-fleet.toml --small --jobs 1 --why "regression: the small twin of the whole fleet"

.PHONY: fuzz
fuzz: ## run each fuzz target for a few seconds
	@sh .ci/fuzz 5s

.PHONY: lint
lint: $(BIN)/golangci-lint $(BIN)/gofumpt ## check formatting and run the linters
	@unformatted=$$($(BIN)/gofumpt -l $(OWN_GO)); \
	if [ -n "$$unformatted" ]; then echo "not formatted, run make fmt:"; echo "$$unformatted"; exit 1; fi
	$(BIN)/golangci-lint run ./...

.PHONY: fmt
fmt: $(BIN)/gofumpt ## format the sources
	@$(BIN)/gofumpt -w $(OWN_GO)

.PHONY: tools
tools: $(BIN)/golangci-lint $(BIN)/gofumpt $(BIN)/gopls ## install the linter, the formatter and gopls into .bin/

.PHONY: generate
generate: $(BIN)/protoc-gen-go $(BIN)/protoc-gen-go-grpc ## make gen/ and the peer protocol anew (needs protoc)
	$(GO) run goa.design/goa/v3/cmd/goa gen azurechute.example/azurechute/design
	PATH="$(BIN):$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative internal/chutepeer/chutepeerpb/*.proto internal/chuteshare/chutesharepb/*.proto

$(BIN)/golangci-lint:
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

$(BIN)/gofumpt:
	GOBIN=$(BIN) $(GO) install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(BIN)/gopls:
	GOBIN=$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

$(BIN)/protoc-gen-go:
	GOBIN=$(BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

$(BIN)/protoc-gen-go-grpc:
	GOBIN=$(BIN) $(GO) install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC_VERSION)
