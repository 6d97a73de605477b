.PHONY: build test check docs regress

build:
	go build -o cassialead ./cmd/cassialead

test:
	go test ./...

check:
	.ci/run

# Plays the standard days and hunted ones: make regress BENCH=the bench's program SITES="site files" DAYS=8
DAYS ?= 40
regress:
	for site in $(SITES); do \
	  $(BENCH) score $$site --why "regression" && $(BENCH) hunt $$site --days $(DAYS) --why "regression" || exit 1; \
	done

docs:
	go run ./cmd/cassialead docs docs/commands
