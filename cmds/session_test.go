package cmds_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/cmds"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/standin"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the golden files")

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmds")
}

// runSpecific matches output that differs between runs.
var runSpecific = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ|127\.0\.0\.1:\d+|/tmp/\S+/`)

// runSession runs commands one after the other and returns their output and exit codes.
func runSession(storeURL string, commands ...string) string {
	var out strings.Builder
	for _, line := range commands {
		var stdout, stderr bytes.Buffer
		code := cmds.Run(append(strings.Fields(line), "--store", storeURL), &stdout, &stderr)
		fmt.Fprintf(&out, "$ cassialead %s\n%s%s[exit %d]\n\n", line, stdout.String(), stderr.String(), code)
	}
	return runSpecific.ReplaceAllString(out.String(), "…")
}

var _ = Describe("an operator's session", func() {
	It("prints the recorded output and exit codes", func() {
		s := standin.NewStore(10_000, 10_000)
		l, err := exchange.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Serve(l, settings.Limits{}).Close)
		url := "http://" + l.Addr().String()
		dir := GinkgoT().TempDir()
		write := func(name, text string) string {
			file := filepath.Join(dir, name)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			return file
		}
		first := write("first.ini", "[defaults]\ntimeout = 1s\n[service a]\n[service b]\n[route a]\npath = /a\nservice = a\n")
		ana := write("ana.ini", "[document]\nbase = 1\n[defaults]\ntimeout = 2s\n[service a]\n[service b]\n[route a]\npath = /a\nservice = a\n")
		yuki := write("yuki.ini", "[document]\nbase = 1\n[defaults]\ntimeout = 1s\n[service a]\nretries = 0\n[service b]\n[route a]\npath = /a\nservice = a\n")
		clash := write("clash.ini", "[document]\nbase = 1\n[defaults]\ntimeout = 3s\n[service a]\n[service b]\n[route a]\npath = /a\nservice = a\n")
		bad := write("bad.ini", "[defaults]\ntimeout = 5\n[exception x]\nmatch = service=c\ntimeout = 1s\n")
		got := runSession(url,
			"show",
			"check "+bad,
			"apply "+first+" --author ana --message first --change c1",
			"apply "+first+" --author ana --change c1",
			"apply "+ana+" --author ana --message slower --change c2",
			"apply "+yuki+" --author yuki --message once --change c3",
			"apply "+clash+" --author yuki --message three --change c4",
			"apply "+first+" --author yuki --change c5",
			"show",
			"diff "+clash,
			"rollback 1 --author ana --change c6",
			"rollback 99 --author ana --change c7",
			"history",
			"exceptions --output json",
			"status",
			"apply /tmp/absent/file.ini",
			"explain /a",
		)
		got = strings.ReplaceAll(got, dir, "DIR")
		s.SetFaults(standin.StoreFaults{Outage: true})
		got += strings.ReplaceAll(runSession(url, "show", "apply "+ana+" --change c8"), dir, "DIR")
		file := filepath.Join("_fixtures", "operator.golden")
		if *rewrite {
			Expect(os.WriteFile(file, []byte(got), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(string(want)))
	})
})
