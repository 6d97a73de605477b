package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/cmds"
	"github.com/cassialead/cassialead/soak"
)

// nodeEnv is the environment variable that makes the test binary run as a node.
const nodeEnv = "CASSIALEAD_SOAK_NODE"

// commandEnv is the environment variable with the command that the test binary runs.
const commandEnv = "CASSIALEAD_SOAK_COMMAND"

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seeds     = flag.Uint64("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.length", 12*time.Second, "length of the event schedule of each seed")
)

// regressions are the seeds that have failed, with their length, by cause.
var regressions = map[string]struct {
	seed   uint64
	length time.Duration
}{
	"a configuration missed after the store's return from an older copy": {5000, 8 * time.Second},
}

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		os.Exit(cmds.Run([]string{"platform"}, os.Stdout, os.Stderr))
	}
	if args := os.Getenv(commandEnv); args != "" {
		os.Exit(cmds.Run(strings.Fields(args), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// runSeed runs a seed and expects no violations.
func runSeed(seed uint64, length time.Duration) {
	program, err := os.Executable()
	Expect(err).NotTo(HaveOccurred())
	log, err := os.Create(fmt.Sprintf("%s/soak-%d.log", os.TempDir(), seed))
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(log.Close()).To(Succeed()) }()
	r, err := soak.Run(context.Background(), soak.Options{Seed: seed, Length: length, Nodes: 6, Program: []string{program},
		Env: []string{nodeEnv + "=1"}, Log: log})
	Expect(err).NotTo(HaveOccurred())
	GinkgoWriter.Println(r)
	Expect(r.Violations).To(BeEmpty(), "seed %d, log %s\n%s", seed, log.Name(), r)
}

var _ = Describe("a fleet under injected faults keeps the invariants", func() {
	for i := range *seeds {
		It(fmt.Sprintf("seed %d", *firstSeed+i), func() { runSeed(*firstSeed+i, *length) })
	}
	for name, c := range regressions {
		It("regression: "+name, func() { runSeed(c.seed, c.length) })
	}
})
