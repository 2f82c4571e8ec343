.PHONY: build test lint generate capacity

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test ./... -count=1

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck ./...

# Regenerates the committed protobuf and drpc code.
generate:
	mkdir -p bin
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	cd tools && go build -o ../bin/buf github.com/bufbuild/buf/cmd/buf
	PATH="$(CURDIR)/bin:$$PATH" bin/buf generate

# Measures the growth rates of docs/CAPACITY.md: at most 3 minutes, 4 cores and 4 GiB.
capacity:
	mkdir -p bin
	go build -o bin/ ./cmd/chivemill-capacity
	bin/chivemill-capacity
