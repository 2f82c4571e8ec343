.PHONY: build test fuzz race demo platform-demo soak soak-seeds soak-departures response-faults regression bench-run bench-there hunt lint generate bench capacity confbench

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

# Runs all tests; those listed in KNOWN-RED.txt are printed and do not decide, as in CI.
test:
	.ci/test

# Runs the property-based tests with fresh seeds and the native fuzz targets for the time FOR, on 3 cores.
FOR ?= 10m
fuzz:
	go run ./internal/fuzzall -for $(FOR)

# Runs the packages with concurrency under the race detector. The process tests start the binaries and are left out:
# the detector does not see into them.
RACE = ./backend ./hedge ./limit ./internal/boundedread ./internal/connlimit ./internal/reception ./internal/ingress ./internal/explain ./confstore ./confsync ./coverage ./delegation ./drain ./edge ./entry ./eventlog ./gateway ./internal/ctl ./internal/standin/... ./kv/... \
	./loadgen ./membership ./oncerun ./peer ./platform ./quarantine ./reach ./relay ./replica ./scatter ./share ./signal ./snapshot ./topology ./balancer
race:
	GOMAXPROCS=4 go test -race -p 2 -count=1 $(RACE)

# Starts two entry daemons and the stand-ins on loopback, injects failures and checks every answer.
demo: build
	go run ./demo bin

# Runs three edge daemons as processes against stand-ins of the platform, without the users' bench.
platform-demo:
	go test ./platform -count=1 -v -run 'TestProcesses|TestCausesFromLogsAlone'

# Runs real daemons under a drawn schedule of faults and checks every answer: make soak SEED=7 FOR=5m; soak-seeds runs the
# seeds from 1 to N for the time FOR each and stops at the first that fails. DAEMONS and CALLERS set the number of processes
# and of callers, SOAK_DAEMON=path runs another daemon binary than this tree's, SOAK_OTHER_DAEMON=path on each second daemon.
SEED ?= 1
N ?= 20
DAEMONS ?= 3
CALLERS ?= 8
soak:
	SOAK_SEED=$(SEED) SOAK_FOR=$(FOR) SOAK_DAEMONS=$(DAEMONS) SOAK_CALLERS=$(CALLERS) go test ./platform -count=1 -timeout 0 -v -run 'TestSoak$$'
soak-seeds:
	for seed in $$(seq 1 $(N)); do $(MAKE) soak SEED=$$seed FOR=$(FOR) DAEMONS=$(DAEMONS) CALLERS=$(CALLERS) || exit 1; done

# Runs real daemons while replicas leave and daemons, mostly readers of the list, stand still or are killed, and checks that departed replicas
# get no late requests: make soak-departures SEED=7 FOR=1m.
soak-departures:
	SOAK_SEED=$(SEED) SOAK_FOR=$(FOR) go test ./platform -count=1 -timeout 0 -v -run 'TestSoakDepartures$$'

# Runs real daemons against replicas that send extra, failed and broken responses, for the time FOR in each scenario:
# make response-faults SCENARIO="extra without id,unframed" LOAD=orders FOR=10s. SCENARIO=all runs each.
SCENARIO ?= several
LOAD ?= search
response-faults:
	SOAK_SEED=$(SEED) SOAK_FOR=$(FOR) SOAK_SCENARIO="$(SCENARIO)" SOAK_LOAD=$(LOAD) go test ./platform -count=1 -timeout 0 -v \
		-run 'TestAnswersUnderResponseFaults$$'

# Scores deployments one after the other: make regression BENCH=path/to/fleetbench SITES="a.toml b.toml". The large ones and
# both of whsb-search come first; docs/measurements/size-rounds.md has the last result of each.
regression:
	for site in $(SITES); do "$(BENCH)" score "$$site" --jobs 3 --why "$(or $(WHY),Regression run)" || exit 1; done

# Plays days of a deployment on the users' bench, such as
#   make bench-run BENCH=path/to/fleetbench SITE=path/to/site.toml DAY=quiet-1 WHY="what is measured"
#   make hunt BENCH=path/to/fleetbench SITE=path/to/site.toml DAYS=40
BENCH ?= fleetbench
DAYS ?= 40
bench-run hunt regression: bench-there
bench-there:
	@command -v "$(BENCH)" >/dev/null || { echo "the users' bench is not there: $(BENCH); set BENCH to its path" >&2; exit 2; }
bench-run:
	"$(BENCH)" run "$(SITE)" "$(DAY)" --why "$(WHY)"
hunt:
	"$(BENCH)" hunt "$(SITE)" --days $(DAYS) --why "$(WHY)"

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck ./...

# Measures the query policy against the baseline in virtual time, over all cases and five seeds.
bench:
	mkdir -p bin
	go build -o bin/chivemill-bench ./cmd/chivemill-bench
	bin/chivemill-bench

# Regenerates the committed protobuf and drpc code.
generate:
	mkdir -p bin
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	cd tools && go build -o ../bin/buf github.com/bufbuild/buf/cmd/buf
	PATH="$(CURDIR)/bin:$$PATH" bin/buf generate

# Measures the dissemination of the configuration; the table goes to docs/measurements.
confbench:
	go run ./cmd/chivemill-confbench

# Measures the growth rates of docs/CAPACITY.md: at most 3 minutes, 4 cores and 4 GiB.
capacity:
	mkdir -p bin
	go build -o bin/ ./cmd/chivemill-capacity
	bin/chivemill-capacity
