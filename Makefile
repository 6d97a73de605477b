.PHONY: build test check docs

build:
	go build -o cassialead ./cmd/cassialead

test:
	go test ./...

check:
	.ci/run

docs:
	go run ./cmd/cassialead docs docs/commands
