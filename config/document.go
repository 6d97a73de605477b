package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// MaxDocumentBytes is the largest accepted document, in bytes.
const MaxDocumentBytes = 1 << 20

// SectionName is a section's full header, such as "route orders".
type SectionName string

// Section holds the keys and values of one section.
type Section map[string]string

// Document is the operators' configuration: sections of uninterpreted keys and values.
type Document map[SectionName]Section

// Source is a parsed configuration file: the document and the version that it was edited from.
type Source struct {
	File     string
	Document Document
	// BaseVersion is the version that the edit started from; zero means that the file names none.
	BaseVersion Version
}

// Parse parses an INI document; errors are of type Problems and match ErrInvalid.
func Parse(file string, data []byte) (Source, error) {
	src := Source{File: file, Document: Document{}}
	if err := checkBytes(file, data); err != nil {
		return src, err
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		SkipUnrecognizableLines:    false,
		SpaceBeforeInlineComment:   true,
		UnescapeValueDoubleQuotes:  true,
		AllowDuplicateShadowValues: true,
	}, data)
	if err != nil {
		return src, Problems{{File: file, Message: err.Error()}}
	}
	var problems Problems
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		problems = append(problems, src.addSection(s, seen)...)
	}
	if len(src.Document) == 0 && len(problems) == 0 {
		problems = append(problems, Problem{File: file, Message: "the document has no sections"})
	}
	return src, problems.OrNil()
}

func checkBytes(file string, data []byte) error {
	switch {
	case len(data) > MaxDocumentBytes:
		return Problems{{File: file, Message: "the document has " + strconv.Itoa(len(data)) +
			" bytes; at most " + strconv.Itoa(MaxDocumentBytes) + " are accepted"}}
	case !utf8.Valid(data):
		return Problems{{File: file, Message: "the document is not valid UTF-8"}}
	case len(strings.TrimSpace(string(data))) == 0:
		return Problems{{File: file, Message: "the document is empty"}}
	}
	return nil
}

func (src *Source) addSection(s *ini.Section, seen map[string]bool) Problems {
	if s.Name() == ini.DefaultSection {
		return src.checkPreamble(s)
	}
	name := strings.Join(strings.Fields(s.Name()), " ")
	var problems Problems
	if seen[name] {
		return Problems{{File: src.File, Section: name, Message: "the section appears more than once"}}
	}
	seen[name] = true
	body := Section{}
	for _, k := range s.Keys() {
		if n := len(k.ValueWithShadows()); n > 1 {
			problems = append(problems, Problem{File: src.File, Section: name, Key: k.Name(),
				Message: "the key appears more than once"})
		}
		body[k.Name()] = strings.TrimSpace(k.Value())
	}
	if name == "document" {
		return append(problems, src.parseBaseVersion(body)...)
	}
	src.Document[SectionName(name)] = body
	return problems
}

func (src *Source) checkPreamble(s *ini.Section) Problems {
	var problems Problems
	for _, k := range s.Keys() {
		problems = append(problems, Problem{File: src.File, Key: k.Name(), Message: "the key precedes the first section"})
	}
	return problems
}

func (src *Source) parseBaseVersion(body Section) Problems {
	var problems Problems
	for key, value := range body {
		if key != "base" {
			problems = append(problems, Problem{File: src.File, Section: "document", Key: key, Message: "unknown key"})
			continue
		}
		n, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			problems = append(problems, Problem{File: src.File, Section: "document", Key: key,
				Message: "want a version number, got " + strconv.Quote(value)})
		}
		src.BaseVersion = Version(n)
	}
	return problems
}

// SectionNames returns the document's section names, sorted.
func (d Document) SectionNames() []SectionName {
	return slices.Sorted(maps.Keys(d))
}

// Digest returns the SHA-256 of the document's canonical form: sections and keys sorted, every string length-prefixed.
func (d Document) Digest() Digest {
	h := sha256.New()
	writeField := func(s string) {
		h.Write(strconv.AppendInt(nil, int64(len(s)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(s))
	}
	for _, name := range d.SectionNames() {
		writeField(string(name))
		body := d[name]
		for _, key := range slices.Sorted(maps.Keys(body)) {
			writeField(key)
			writeField(body[key])
		}
		h.Write([]byte{'\n'})
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// Clone returns a deep copy of d.
func (d Document) Clone() Document {
	c := make(Document, len(d))
	for name, body := range d {
		c[name] = maps.Clone(body)
	}
	return c
}

// Equal reports whether both documents have the same sections, keys and values.
func (d Document) Equal(o Document) bool {
	return maps.EqualFunc(d, o, func(a, b Section) bool { return maps.Equal(a, b) })
}

// Format returns the document as INI, with base in its [document] section as the version to edit from.
func (d Document) Format(base Version) string {
	var b strings.Builder
	b.WriteString("[document]\nbase = " + strconv.FormatUint(uint64(base), 10) + "\n")
	for _, name := range d.SectionNames() {
		b.WriteString("\n[" + string(name) + "]\n")
		body := d[name]
		for _, key := range slices.Sorted(maps.Keys(body)) {
			b.WriteString(key + " = " + formatValue(body[key]) + "\n")
		}
	}
	return b.String()
}

func formatValue(v string) string {
	if strings.ContainsAny(v, "#;`\"\n\\") {
		return "`" + v + "`"
	}
	return v
}

// ErrInvalid is matched by every error about an invalid document, plan or settings file.
var ErrInvalid = errors.New("invalid configuration")

// Problem is one validation error in a document, plan or settings file.
type Problem struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the problem on one line, prefixed with file, section and key.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ": ")
	}
	if p.Section != "" {
		b.WriteString("section [" + p.Section + "]: ")
	}
	if p.Key != "" {
		b.WriteString("key " + strconv.Quote(p.Key) + ": ")
	}
	return b.String() + p.Message
}

// Problems is an error that lists all validation errors of an input.
type Problems []Problem

// Error returns the problems one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes Problems match ErrInvalid in errors.Is.
func (ps Problems) Is(target error) bool { return target == ErrInvalid }

// OrNil sorts the problems by file, section and key and returns them as an error, or nil if there are none.
func (ps Problems) OrNil() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return strings.Compare(a.File+"\x00"+a.Section+"\x00"+a.Key, b.File+"\x00"+b.Section+"\x00"+b.Key)
	})
	return ps
}
