GO ?= go
BIN := bin/jayridge
GOPLS_VERSION := v0.23.0 # later versions need a newer Go than go.mod names

.PHONY: build demo test upgrade-test bench fuzz soak fmt rename-tool

build:
	$(GO) build -o $(BIN) ./cmd/jayridge

demo: build
	bash scripts/demo.sh $(BIN)

test:
	bash scripts/test.sh

upgrade-test:
	bash scripts/upgrade.sh $(REVISION)

bench:
	$(GO) run ./internal/bench/cmd --out bench-out

fuzz:
	bash scripts/fuzz.sh

soak:
	bash scripts/soak.sh $(SEEDS) $(SECONDS) $(GATEWAYS)

fmt:
	gofmt -w $$(git ls-files '*.go')

# Installs gopls, whose command "gopls rename -w FILE:LINE:COLUMN NAME" renames an identifier in the whole module.
rename-tool:
	GOBIN=$(CURDIR)/bin $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
