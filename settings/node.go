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
	// Call takes callers, Link takes other nodes, Local takes targets on this VM and operators.
	Call  fleet.Address
	Link  fleet.Address
	Local fleet.Address
	Seeds []fleet.Address
	// Store is the URL of the platform's key-value service.
	Store string
	// LogFormat is text or json.
	LogFormat string
	// Drain bounds how long an ending process waits for calls in flight; zero waits for their own deadlines.
	Drain time.Duration
}

// ErrUnreadable marks a settings file that can't be opened.
var ErrUnreadable = errors.New("settings file is unreadable")

// LoadNode reads a file; it returns ErrUnreadable, or config.Problems naming file, section and key of every fault.
func LoadNode(file string) (Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Node{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return ParseNode(file, data)
}

// ParseNode reads settings from data; see LoadNode.
func ParseNode(file string, data []byte) (Node, error) {
	r := &reader{file: file}
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true,
		AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return Node{}, config.Problems{{File: file, Message: err.Error()}}
	}
	r.values = map[string]map[string]string{}
	for _, s := range parsed.Sections() {
		r.section(s)
	}
	n := Node{
		VM:         fleet.NodeID(r.required("node", "vm")),
		DataCentre: fleet.DataCentre(r.required("node", "data-centre")),
		Region:     fleet.Region(r.required("node", "region")),
		Call:       r.address("node", "call"),
		Link:       r.address("node", "link"),
		Local:      r.address("node", "local"),
		Seeds:      r.addresses("node", "seeds"),
		LogFormat:  r.choice("node", "log", "text", "json"),
		Drain:      r.duration("node", "drain"),
		Store:      r.url("store", "address"),
	}
	r.distinct(n)
	r.leftover()
	return n, r.problems.OrNil()
}

// reader takes known keys out of a parsed file and collects problems.
type reader struct {
	file     string
	values   map[string]map[string]string
	problems config.Problems
}

func (r *reader) fail(section, key, message string) {
	r.problems = append(r.problems, config.Problem{File: r.file, Section: section, Key: key, Message: message})
}

func (r *reader) section(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection && len(s.Keys()) == 0 {
		return
	}
	if r.values[name] != nil {
		r.fail(name, "", "the section appears more than once")
		return
	}
	r.values[name] = map[string]string{}
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			r.fail(name, k.Name(), "the key appears more than once")
		}
		r.values[name][k.Name()] = strings.TrimSpace(k.Value())
	}
}

func (r *reader) take(section, key string) string {
	v := r.values[section][key]
	delete(r.values[section], key)
	return v
}

func (r *reader) required(section, key string) string {
	v := r.take(section, key)
	if v == "" {
		r.fail(section, key, "the key is required")
	}
	return v
}

func (r *reader) address(section, key string) fleet.Address {
	v := r.required(section, key)
	if v != "" {
		r.checkAddress(section, key, v)
	}
	return fleet.Address(v)
}

func (r *reader) checkAddress(section, key, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		r.fail(section, key, "want an IP address with a port such as 192.0.2.1:9001, got "+strconv.Quote(v))
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		r.fail(section, key, "want a port from 0 to 65535, got "+strconv.Quote(port))
	}
}

func (r *reader) addresses(section, key string) []fleet.Address {
	var as []fleet.Address
	for _, f := range strings.FieldsFunc(r.take(section, key), func(c rune) bool { return c == ',' || c == ' ' }) {
		r.checkAddress(section, key, f)
		as = append(as, fleet.Address(f))
	}
	return as
}

func (r *reader) choice(section, key string, allowed ...string) string {
	v := r.take(section, key)
	if v == "" {
		return allowed[0]
	}
	if !slices.Contains(allowed, v) {
		r.fail(section, key, "want one of "+strings.Join(allowed, ", ")+", got "+strconv.Quote(v))
	}
	return v
}

func (r *reader) duration(section, key string) time.Duration {
	v := r.take(section, key)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		r.fail(section, key, "want a duration with a unit such as 30s, got "+strconv.Quote(v))
	}
	return d
}

func (r *reader) url(section, key string) string {
	v := r.required(section, key)
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.fail(section, key, "want a URL such as http://192.0.2.1:8500, got "+strconv.Quote(v))
	}
	return v
}

func (r *reader) distinct(n Node) {
	seen := map[fleet.Address]string{}
	for _, a := range []struct {
		key string
		at  fleet.Address
	}{{"call", n.Call}, {"link", n.Link}, {"local", n.Local}} {
		if other, ok := seen[a.at]; ok && a.at != "" && !strings.HasSuffix(string(a.at), ":0") {
			r.fail("node", a.key, "clashes with key "+strconv.Quote(other)+": both are "+string(a.at))
		}
		seen[a.at] = a.key
	}
}

func (r *reader) leftover() {
	for section, keys := range r.values {
		if section != "node" && section != "store" {
			r.fail(section, "", "unknown section; want node or store")
			continue
		}
		for key := range keys {
			r.fail(section, key, "unknown key")
		}
	}
}
