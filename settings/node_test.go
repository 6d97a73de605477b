package settings_test

import (
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const valid = `[node]
vm = a
data-centre = norte
region = costa
call = 127.0.0.1:1
link = 127.0.0.1:2
local = 127.0.0.1:3
[store]
address = http://127.0.0.1:8500
`

var _ = Describe("node settings", func() {
	It("are parsed, with the default log format", func() {
		n, err := settings.ParseNode("node.ini", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.LogFormat).To(Equal("text"))
		Expect(string(n.LinkAddress)).To(Equal("127.0.0.1:2"))
	})

	It("are valid in every example, with distinct addresses", func() {
		files, err := filepath.Glob(filepath.Join("..", "examples", "node-*.ini"))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(8))
		seen := map[fleet.Address]string{}
		for _, file := range files {
			n, err := settings.LoadNode(file)
			Expect(err).NotTo(HaveOccurred())
			for _, a := range []fleet.Address{n.CallAddress, n.LinkAddress, n.LocalAddress} {
				Expect(seen).NotTo(HaveKey(a), file)
				seen[a] = file
			}
		}
	})

	It("have the limits of the smallest VM unless they name others", func() {
		n, err := settings.ParseNode("node.ini", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Limits.OrDefault()).To(Equal(settings.Limits{MemoryBytes: 184 << 20, Descriptors: 4100}))
		n, err = settings.ParseNode("node.ini", []byte(valid+"[limits]\nmemory = 64\ndescriptors = 400\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Limits).To(Equal(settings.Limits{MemoryBytes: 64 << 20, Descriptors: 400}))
	})

	cases := map[string]struct{ extra, want string }{
		"too little memory":        {"[limits]\nmemory = 16\n", `node.ini: section [limits]: key "memory": want a whole number from 48 to 1048576, got "16"`},
		"a limit without a number": {"[limits]\ndescriptors = many\n", `node.ini: section [limits]: key "descriptors": want a whole number`},
		"an unknown key":           {"colour = red\n", `node.ini: section [store]: key "colour": unknown key`},
		"an unknown section":       {"[cluster]\n", "node.ini: section [cluster]: unknown section"},
		"a duplicate section":      {"[node]\nvm = b\n", "node.ini: section [node]: the section appears more than once"},
	}
	for name, c := range cases {
		It("are rejected with "+name, func() {
			_, err := settings.ParseNode("node.ini", []byte(valid+c.extra))
			Expect(err).To(MatchError(config.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}

	It("are rejected with all of their errors at once", func() {
		_, err := settings.ParseNode("node.ini", []byte("[node]\ncall = host:1\nlink = 127.0.0.1:2\nlocal = 127.0.0.1:2\ndrain = 5\n[store]\naddress = x\n"))
		var problems config.Problems
		Expect(errors.As(err, &problems)).To(BeTrue())
		Expect(problems.Error()).To(And(ContainSubstring(`key "vm": the key is required`), ContainSubstring(`conflicts with key "link"`),
			ContainSubstring("want an IP address"), ContainSubstring("want a duration with a unit"), ContainSubstring("want a URL")))
	})
})

func FuzzNode(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.ParseNode("fuzz", data); err != nil && !errors.Is(err, config.ErrInvalid) {
			t.Fatalf("error %v does not match ErrInvalid", err)
		}
	})
}
