GO ?= go
BIN := bin/jayridge

.PHONY: build demo test upgrade-test bench fuzz soak fmt

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
	bash scripts/soak.sh $(SEEDS) $(SECONDS)

fmt:
	gofmt -w $$(git ls-files '*.go')
