.PHONY: build gen lint test model demo

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

model:
	spec/run.sh

demo: build
	go run ./test/demo
