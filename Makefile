.PHONY: build gen lint test demo bench slopes

build:
	go build -o bin/ ./cmd/...

gen:
	./proto/generate.sh

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./cmd/... ./internal/...

test:
	go test ./...

demo: build
	go run ./test/demo

bench:
	go run ./test/bench

slopes:
	go run ./test/bench --case slopes
