# The build, test and measurement targets. README.md describes each of them.

TOOL := go tool -modfile=tools/go.mod
# Tests listed in KNOWN-RED.txt are skipped and the list is printed.
RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(RED),-skip '^($(RED))$$',)
SEED ?= 1
RUNS ?= 10000

.PHONY: build demo test lint fmt generate prove measure measure-fleet bench fuzz soak review ci

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/camphor-demo -bin bin

# -count=1 bypasses the test cache: the process tests run binaries whose changes
# the cache does not detect. The crowds of clients run alone, as other load would keep
# them from building up.
test:
	@if [ -s KNOWN-RED.txt ]; then echo "known failing tests (KNOWN-RED.txt), which are skipped:"; cat KNOWN-RED.txt; fi
	go test -race -count=1 -timeout 20m $(SKIP) $$(go list ./... | grep -v '/internal/check/crowd$$')
	go test -race -count=1 -timeout 20m $(SKIP) ./internal/check/crowd

fmt:
	@out=$$(gofmt -l cmd internal platform); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	go vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config revive.toml -set_exit_status -exclude internal/gen/... ./...

generate:
	$(TOOL) buf lint
	$(TOOL) buf generate

# The packages with property-based state machine tests; others do not know the
# flags of rapid.
MACHINES = $(shell grep -rl --include='*_test.go' '^func TestMachine' internal | xargs -n1 dirname | sort -u | sed 's|^|./|')

# Runs the property-based state machine tests of the step functions, each with RUNS
# random cases generated from SEED.
prove:
	go test -count=1 -timeout 120m $(MACHINES) -run '^TestMachine' -rapid.checks=$(RUNS) -rapid.seed=$(SEED) -rapid.nofailfile

# Compares placement with the baseline policies in simulated time, with five seeds;
# takes about 15 seconds.
measure: build
	bin/camphor-measure -out docs/measure -seeds 5

# Measures a fleet of real processes: rule propagation, recovery time and control
# traffic in bytes; takes about five minutes.
measure-fleet: build
	bin/camphor-measure -out docs/measure -fleet bin -edits 200

# Runs real processes under random faults and keeps the logs of failed seeds.
COUNT ?= 10
soak: build
	bin/camphor-soak -seed $(SEED) -count $(COUNT) -span 12s -keep /tmp/camphor-soak-failed

# The benchmarks behind the per-unit costs in docs/CAPACITY.md.
bench:
	go test ./internal/control/manager -run xxx -bench . -benchtime 2000x
	go test ./internal/control/replica -run xxx -bench Commit -benchtime 2000x
	go test ./internal/control/replica -run xxx -bench Restart -benchtime 3x
	go test ./internal/routing/... -run xxx -bench . -benchmem

# Fuzzes each decoder for FUZZTIME.
FUZZTIME ?= 30s
fuzz:
	go test ./internal/rules/parse -run xxx -fuzz FuzzRules -fuzztime $(FUZZTIME)
	go test ./internal/control/wal -run xxx -fuzz FuzzDecodeSegment -fuzztime $(FUZZTIME)
	go test ./internal/control/wal -run xxx -fuzz FuzzDecodeSnapshot -fuzztime $(FUZZTIME)
	go test ./internal/control/ledger -run xxx -fuzz FuzzRestore -fuzztime $(FUZZTIME)
	go test ./platform/serverlist -run xxx -fuzz FuzzPage -fuzztime $(FUZZTIME)
	go test ./platform/serverlist -run xxx -fuzz FuzzOddEntry -fuzztime $(FUZZTIME)
	go test ./platform/engine -run xxx -fuzz FuzzOddCachedPart -fuzztime $(FUZZTIME)
	go test ./platform/operatorconfig -run xxx -fuzz FuzzConfiguration -fuzztime $(FUZZTIME)
	go test ./platform/dialect -run xxx -fuzz FuzzParseRequest -fuzztime $(FUZZTIME)
	go test ./internal/routing/sse -run xxx -fuzz FuzzSplitter -fuzztime $(FUZZTIME)
	go test ./internal/edge/backend -run xxx -fuzz FuzzResponse -fuzztime $(FUZZTIME) -fuzzminimizetime 1x

# Plays the cases of the review against the daemon as it is deployed; fails unless all
# rules hold. Each case writes what it saw to its record.txt.
review:
	go build -trimpath -ldflags=-linkmode=external -o target/ ./cmd/camphord
	review/build.sh
	for n in 1 2 3 4 5; do review/$$n/run.sh || exit 1; done

ci: fmt lint test
