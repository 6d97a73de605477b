package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/examples"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func compile(text string) (*config.Config, error) {
	src, err := config.Parse("intent.ini", []byte(text))
	if err != nil {
		return nil, err
	}
	return config.Compile("intent.ini", src.Document)
}

var _ = Describe("an invalid document", func() {
	const service = "[service a]\n"
	cases := map[string]struct{ text, want string }{
		"is empty":                                 {"", "intent.ini: the document is empty"},
		"has a section twice":                      {service + service, "section [service a]: the section appears more than once"},
		"has a key twice":                          {"[defaults]\ntimeout = 1s\ntimeout = 2s\n", `section [defaults]: key "timeout": the key appears more than once`},
		"has an exception without a reason":        {service + "[exception x]\nmatch = service=a\nauthor = me\ntimeout = 1s\n", `section [exception x]: key "reason": an exception needs a written reason`},
		"has an exception that sets no policy key": {service + "[exception x]\nmatch = service=a\nauthor = me\nreason = why\n", "section [exception x]: the exception overrides no policy key"},
		"has an exception for an unknown service":  {"[exception x]\nmatch = service=b\nauthor = me\nreason = why\ntimeout = 1s\n", `section [exception x]: key "match": service "b" does not exist`},
		"has a route to an unknown service":        {"[route r]\npath = /r\nservice = b\n", `section [route r]: key "service": service "b" does not exist`},
		"has two routes with one path":             {service + "[route r]\npath = /r\nservice = a\n[route s]\npath = /r\nservice = a\n", "has the same host and path"},
		"has an unknown key":                       {"[defaults]\ntimeouts = 1s\n", `section [defaults]: key "timeouts": unknown key`},
		"has a duration without a unit":            {"[defaults]\ntimeout = 5\n", `want a duration with a unit such as 2s, got "5"`},
		"has a bandwidth without a unit":           {"[defaults]\nspill-bandwidth = 3\n", `key "spill-bandwidth": want a rate with a unit such as 3Mbit, got "3"`},
		"has a section of an unknown kind":         {"[services]\n", "section [services]: unknown section"},
		"is not UTF-8":                             {"[defaults]\ntimeout = \xff\n", "the document is not valid UTF-8"},
		"is too large":                             {"[defaults]\n;" + strings.Repeat("x", 2<<20), "at most 1048576 are accepted"},
		"has a key before any section":             {"timeout = 1s\n[defaults]\n", `key "timeout": the key precedes the first section`},
		"has an invalid date":                      {service + "[exception x]\nmatch = service=a\nauthor = me\nreason = why\ntimeout = 1s\nuntil = soon\n", "want a date such as 2027-01-31"},
	}
	for name, c := range cases {
		It("is rejected with an error that states file, section and key when it "+name, func() {
			_, err := compile(c.text)
			Expect(err).To(MatchError(config.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}

	It("is rejected with all of its errors at once", func() {
		_, err := compile("[defaults]\ntimeout = 5\nretries = many\n[route r]\npath = r\nservice = b\n")
		var problems config.Problems
		Expect(errors.As(err, &problems)).To(BeTrue())
		Expect(problems).To(HaveLen(4))
	})
})

var _ = Describe("a compiled document", func() {
	It("applies the narrower exception last, for its tenant and until its date", func() {
		cfg, err := compile(`
[defaults]
timeout = 1s
[service a]
timeout = 2s
[route r]
path = /r
service = a
[exception wide]
match = service=a
timeout = 3s
reason = all of a is slow
author = me
[exception narrow]
match = route=r tenant=t
timeout = 4s
reason = t is slower
author = me
until = 2030-01-01
`)
		Expect(err).NotTo(HaveOccurred())
		r := cfg.Match("", "/r/1")
		before := time.Date(2029, 1, 1, 0, 0, 0, 0, time.UTC)
		timeout := func(tenant config.Tenant, at time.Time) time.Duration {
			p, _ := r.Policy(tenant, at)
			return p.Timeout
		}
		Expect(timeout("other", before)).To(Equal(3 * time.Second))
		Expect(timeout("t", before)).To(Equal(4 * time.Second))
		Expect(timeout("t", before.AddDate(2, 0, 0))).To(Equal(3 * time.Second))
	})

	It("matches whole path segments and prefers the longest path", func() {
		cfg, err := compile("[service a]\n[route all]\npath = /\nservice = a\n[route r]\npath = /r\nservice = a\n")
		Expect(err).NotTo(HaveOccurred())
		for path, want := range map[string]config.RouteName{"/r": "r", "/r/x": "r", "/rx": "all", "/": "all"} {
			Expect(cfg.Match("", path).Name).To(Equal(want), path)
		}
	})

	It("is unchanged after being formatted and parsed again", func() {
		for name, data := range map[string][]byte{"palmared": examples.Palmared, "yukimichi": examples.Yukimichi} {
			src, err := config.Parse(name, data)
			Expect(err).NotTo(HaveOccurred())
			reparsed, err := config.Parse(name, []byte(src.Document.Format(7)))
			Expect(err).NotTo(HaveOccurred())
			Expect(reparsed.BaseVersion).To(Equal(config.Version(7)))
			Expect(reparsed.Document).To(Equal(src.Document))
		}
	})
})

// drawDocument generates a document of up to four sections.
func drawDocument(t *rapid.T, label string) config.Document {
	names := rapid.SampledFrom([]config.SectionName{"defaults", "service a", "service b", "route r"})
	values := rapid.MapOfN(rapid.SampledFrom([]string{"k", "l", "m"}), rapid.SampledFrom([]string{"1", "2"}), 0, 3)
	doc := config.Document{}
	for n, v := range rapid.MapOfN(names, values, 0, 4).Draw(t, label) {
		doc[n] = v
	}
	return doc
}

func TestApplyingDiffYieldsSecondDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		got, err := config.Diff(from, to).Apply(from)
		if err != nil || !got.Equal(to) {
			t.Fatalf("patched to %v, %v; want %v", got, err, to)
		}
	})
}

func TestMergeKeepsBothEditsOrReportsConflicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, theirs, ours := drawDocument(t, "base"), drawDocument(t, "theirs"), drawDocument(t, "ours")
		merged, conflicts := config.Merge(base, theirs, ours)
		otherMerged, otherConflicts := config.Merge(base, ours, theirs)
		if len(conflicts) != len(otherConflicts) {
			t.Fatalf("conflicts depend on the order of the sides: %v, %v", conflicts, otherConflicts)
		}
		if len(conflicts) == 0 && !merged.Equal(otherMerged) {
			t.Fatalf("merges depend on the order of the sides: %v, %v", merged, otherMerged)
		}
		if unopposed, c := config.Merge(base, base, ours); len(c) > 0 || !unopposed.Equal(ours) {
			t.Fatalf("merge of an edit with an unchanged base: %v, %v", unopposed, c)
		}
	})
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob(filepath.Join("..", "examples", "*.ini"))
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("[service a]\n[exception x]\nmatch = service=a\nreason = `multi\nline`\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		src, err := config.Parse("fuzz", data)
		if err != nil {
			if !errors.Is(err, config.ErrInvalid) {
				t.Fatalf("error %v does not match ErrInvalid", err)
			}
			return
		}
		cfg, err := config.Compile("fuzz", src.Document)
		if err == nil {
			cfg.Match("host", "/path")
		}
	})
}
