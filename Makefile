.PHONY: build test lint generate bench

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test ./... -count=1

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
