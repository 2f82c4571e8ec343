.PHONY: build test fuzz race demo fleet lint generate bench capacity confbench

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test ./... -count=1

# Runs the stateful tests with fresh seeds and the native fuzz targets for the time FOR, on 3 cores.
FOR ?= 10m
fuzz:
	go run ./internal/fuzzall -for $(FOR)

# Runs the packages with concurrency under the race detector. The process tests start the binaries and are left out:
# the detector does not see into them.
RACE = ./backend ./confstore ./confsync ./coverage ./drain ./entry ./internal/ctl ./internal/standin/... ./kv/... \
	./loadgen ./membership ./oncerun ./peer ./quarantine ./relay ./replica ./scatter ./share ./signal ./snapshot
race:
	GOMAXPROCS=4 go test -race -p 2 -count=1 $(RACE)

# Starts two entry daemons and the stand-ins on loopback, injects failures and checks every answer.
demo: build
	go run ./demo bin

# Measures a deployment as processes on loopback, such as make fleet DEPLOYMENT=examples/tutkal.
# FLEET_FLAGS adds flags; see go run ./fleetrun --help.
DEPLOYMENT ?= examples/gravura-canina
fleet: build
	go build -o bin/ ./fleetrun
	bin/fleetrun --deployment $(DEPLOYMENT)/services.yaml $(FLEET_FLAGS)

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
