# Targets for developers and CI. Tools are installed into .bin at the versions pinned here and in tools/go.mod.
GOLANGCI_LINT_VERSION := v2.12.0
BIN := $(CURDIR)/.bin
MODULES := $(shell go work edit -json | sed -n 's/.*"DiskPath": "\.\/\(.*\)".*/\1/p')
GO_FILES := $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -vE '[.](pb|connect)[.]go$$')

.PHONY: all build test lint format generate tidy tools demo soak

all: build lint test

build:
	go build -o out/ ./cmd/...

test:
	go test -count=1 work

tools: $(BIN)/golangci-lint $(BIN)/gofumpt

$(BIN)/golangci-lint:
	GOBIN=$(BIN) GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(BIN)/gofumpt:
	cd tools && GOWORK=off go build -o $(BIN)/ mvdan.cc/gofumpt golang.org/x/perf/cmd/benchstat \
		google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go

# The linter's default cache is shared by all checkouts of a machine and stores paths of files. When a checkout that filled it
# has been removed, nolint comments and the marks of generated files no longer apply to its entries.
lint: tools
	@unformatted=$$($(BIN)/gofumpt -l $(GO_FILES)); \
		if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet work
	GOLANGCI_LINT_CACHE=$(BIN)/lint-cache $(BIN)/golangci-lint run --allow-parallel-runners $(addsuffix /...,$(addprefix ./,$(MODULES)))

format: tools
	$(BIN)/gofumpt -w $(GO_FILES)

# Needs protoc; the output is committed, so a build does not.
generate: tools
	PATH=$(BIN):$$PATH protoc -I api/proto --go_out=api --go_opt=module=lavendermoor.example/api \
		--connect-go_out=api --connect-go_opt=module=lavendermoor.example/api \
		lavendermoor/operator/v1/operator.proto

tidy:
	scripts/tidy.sh

demo:
	go run ./cmd/lavendermoor-demo

# SEED and MINUTES choose the schedule and the length.
soak:
	LAVENDERMOOR_SEED=$(SEED) LAVENDERMOOR_MINUTES=$(MINUTES) go test -count=1 -timeout 120m -run 'Soak' work
