package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoStory says that no line names the request.
var ErrNoStory = errors.New("no line names the request")

const maxLine = 1 << 20 // bytes of a line

// Line is one line of a log.
type Line struct {
	Time  time.Time
	VM    string
	Event string
	// Fields are the other fields, in the order of their names.
	Fields []Field
}

// Field is a key of a line with its value.
type Field struct{ Key, Value string }

// Get returns the value of a field, or nothing.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// ReadStory returns the lines about a request and the calls made for it; an error names the line that can't be read.
// Text before the first brace of a line is skipped, since collectors put a prefix there.
func ReadStory(name string, r io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for n := 1; scanner.Scan(); n++ {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 || !bytes.Contains(scanner.Bytes(), []byte(id)) {
			continue
		}
		l, err := parseLine(scanner.Bytes()[brace:])
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, n)
		}
		if call := l.Get("call"); call == id || strings.HasPrefix(call, id+".") {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), name)
}

func parseLine(b []byte) (Line, error) {
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if err := d.Decode(&fields); err != nil {
		return Line{}, errors.Wrap(err, "not a line of a log")
	}
	l := Line{}
	for key, v := range fields {
		value := fmt.Sprint(v)
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, errors.Wrap(err, "time of the line")
			}
			l.Time = at
		case "vm":
			l.VM = value
		case "msg":
			l.Event = value
		case "level":
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Key, b.Key) })
	return l, nil
}

// Order sorts lines of several nodes into one story.
func Order(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
