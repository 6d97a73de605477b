package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// Node holds the settings of `cassialead node`.
type Node struct {
	VM         fleet.NodeID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Listen addresses for callers, for other nodes, and for operators and the targets on this VM.
	CallAddress  fleet.Address
	LinkAddress  fleet.Address
	LocalAddress fleet.Address
	// Seeds are the link addresses of nodes through which the process joins the fleet.
	Seeds []fleet.Address
	// StoreURL is the URL of the platform's key-value service.
	StoreURL string
	// LogFormat is text or json.
	LogFormat string
	// DrainTimeout limits how long shutdown waits for calls in flight; zero means until the calls' own deadlines.
	DrainTimeout time.Duration
	// Limits are the resources of the process.
	Limits Limits
}

// ErrUnreadable means that a settings file can't be opened or read.
var ErrUnreadable = errors.New("settings file is unreadable")

// LoadNode reads and parses a settings file; it returns ErrUnreadable, or config.Problems with file, section and key of each error.
func LoadNode(file string) (Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Node{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return ParseNode(file, data)
}

// ParseNode parses the contents of a settings file; it returns config.Problems with file, section and key of each error.
func ParseNode(file string, data []byte) (Node, error) {
	p := &parser{file: file}
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true,
		AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return Node{}, config.Problems{{File: file, Message: err.Error()}}
	}
	p.values = map[string]map[string]string{}
	for _, s := range parsed.Sections() {
		p.addSection(s)
	}
	n := Node{
		VM:           fleet.NodeID(p.required("node", "vm")),
		DataCentre:   fleet.DataCentre(p.required("node", "data-centre")),
		Region:       fleet.Region(p.required("node", "region")),
		CallAddress:  p.address("node", "call"),
		LinkAddress:  p.address("node", "link"),
		LocalAddress: p.address("node", "local"),
		Seeds:        p.addresses("node", "seeds"),
		LogFormat:    p.choice("node", "log", "text", "json"),
		DrainTimeout: p.duration("node", "drain"),
		StoreURL:     p.url("store", "address"),
		Limits: Limits{MemoryBytes: int64(p.count("limits", "memory", leastMemoryMB)) << 20,
			Descriptors: p.count("limits", "descriptors", leastDescriptors)},
	}
	p.checkDistinctAddresses(n)
	p.reportUnknownKeys()
	return n, p.problems.OrNil()
}

// parser extracts the known keys from a parsed file, which leaves the unknown ones in values, and collects problems.
type parser struct {
	file     string
	values   map[string]map[string]string
	problems config.Problems
}

func (p *parser) fail(section, key, message string) {
	p.problems = append(p.problems, config.Problem{File: p.file, Section: section, Key: key, Message: message})
}

func (p *parser) addSection(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection && len(s.Keys()) == 0 {
		return
	}
	if p.values[name] != nil {
		p.fail(name, "", "the section appears more than once")
		return
	}
	p.values[name] = map[string]string{}
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			p.fail(name, k.Name(), "the key appears more than once")
		}
		p.values[name][k.Name()] = strings.TrimSpace(k.Value())
	}
}

func (p *parser) takeValue(section, key string) string {
	v := p.values[section][key]
	delete(p.values[section], key)
	return v
}

func (p *parser) required(section, key string) string {
	v := p.takeValue(section, key)
	if v == "" {
		p.fail(section, key, "the key is required")
	}
	return v
}

func (p *parser) address(section, key string) fleet.Address {
	v := p.required(section, key)
	if v != "" {
		p.checkAddress(section, key, v)
	}
	return fleet.Address(v)
}

func (p *parser) checkAddress(section, key, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		p.fail(section, key, "want an IP address with a port such as 192.0.2.1:9001, got "+strconv.Quote(v))
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		p.fail(section, key, "want a port from 0 to 65535, got "+strconv.Quote(port))
	}
}

func (p *parser) addresses(section, key string) []fleet.Address {
	var as []fleet.Address
	for _, f := range strings.FieldsFunc(p.takeValue(section, key), func(c rune) bool { return c == ',' || c == ' ' }) {
		p.checkAddress(section, key, f)
		as = append(as, fleet.Address(f))
	}
	return as
}

func (p *parser) choice(section, key string, allowed ...string) string {
	v := p.takeValue(section, key)
	if v == "" {
		return allowed[0]
	}
	if !slices.Contains(allowed, v) {
		p.fail(section, key, "want one of "+strings.Join(allowed, ", ")+", got "+strconv.Quote(v))
	}
	return v
}

func (p *parser) duration(section, key string) time.Duration {
	v := p.takeValue(section, key)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		p.fail(section, key, "want a duration with a unit such as 30s, got "+strconv.Quote(v))
	}
	return d
}

// count returns a whole number that is at least least, or zero if the key is absent.
func (p *parser) count(section, key string, least int) int {
	v := p.takeValue(section, key)
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > maxCount {
		p.fail(section, key, fmt.Sprintf("want a whole number from %d to %d, got %q", least, maxCount, v))
		return 0
	}
	return n
}

func (p *parser) url(section, key string) string {
	v := p.required(section, key)
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		p.fail(section, key, "want a URL such as http://192.0.2.1:8500, got "+strconv.Quote(v))
	}
	return v
}

func (p *parser) checkDistinctAddresses(n Node) {
	seen := map[fleet.Address]string{}
	for _, a := range []struct {
		key string
		at  fleet.Address
	}{{"call", n.CallAddress}, {"link", n.LinkAddress}, {"local", n.LocalAddress}} {
		if other, ok := seen[a.at]; ok && a.at != "" && !strings.HasSuffix(string(a.at), ":0") {
			p.fail("node", a.key, "conflicts with key "+strconv.Quote(other)+": both are "+string(a.at))
		}
		seen[a.at] = a.key
	}
}

func (p *parser) reportUnknownKeys() {
	for section, keys := range p.values {
		if section != "node" && section != "store" && section != "limits" {
			p.fail(section, "", "unknown section; want node, store or limits")
			continue
		}
		for key := range keys {
			p.fail(section, key, "unknown key")
		}
	}
}
