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

// ErrRequestNotFound means that no log line belongs to the request.
var ErrRequestNotFound = errors.New("no log line found for the request")

const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time  time.Time
	VM    string
	Event string
	// Fields are the remaining fields except level, sorted by key.
	Fields []Field
}

// Field is a key and value of a line.
type Field struct{ Key, Value string }

// Get returns the value of a field, or an empty string if the line has none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// ReadRequest returns the lines about a request and the calls made for it; a parse error is prefixed with name and line number.
// Text before the first brace of a line is skipped, since log collectors put a prefix there.
func ReadRequest(name string, r io.Reader, id string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
		return Line{}, errors.Wrap(err, "parse log line")
	}
	l := Line{}
	for key, v := range fields {
		value := fmt.Sprint(v)
		switch key {
		case "time":
			parsed, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, errors.Wrap(err, "parse time of log line")
			}
			l.Time = parsed
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

// SortByTime sorts lines of several nodes by time; lines with equal times keep their order.
func SortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
