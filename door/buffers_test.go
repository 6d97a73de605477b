package door

import (
	"slices"
	"testing"
)

// Connections that hold little were closed for those that hold much, or none although all together exceeded the limit.
func TestExcessNamesTheLargest(t *testing.T) {
	const limit = 1 << 20 // bytes: an eighth of the memory below
	for name, c := range map[string]struct {
		held     []Bytes
		keeps    int // index of the connection that is not closed, or -1
		want     []int
		pressure Pressure
	}{
		"within the limit":            {[]Bytes{100 << 10, 200 << 10}, -1, nil, Low},
		"near to it":                  {[]Bytes{300 << 10, 300 << 10}, -1, nil, High},
		"beyond it":                   {[]Bytes{10 << 10, 700 << 10, 500 << 10}, -1, []int{1}, High},
		"far beyond it":               {[]Bytes{900 << 10, 10 << 10, 900 << 10, 800 << 10}, -1, []int{0, 2}, High},
		"beyond it by one that stays": {[]Bytes{10 << 10, 2 << 20, 500 << 10}, 1, []int{2, 0}, High},
		"many that could exceed it":   {make([]Bytes, 9), -1, nil, Possible},
		"many of known hosts":         {make([]Bytes, 9), -1, nil, Low},
	} {
		t.Run(name, func(t *testing.T) {
			var all []Buffered[int]
			for i, n := range c.held {
				all = append(all, Buffered[int]{Conn: i, Bytes: n, Known: name == "many of known hosts", Keeps: i == c.keeps})
			}
			got, pressure := Excess(NewBuffers(limit*bufferMemoryShare), all)
			if !slices.Equal(got, c.want) || pressure != c.pressure {
				t.Errorf("closes %v pressure %v, want %v and %v", got, pressure, c.want, c.pressure)
			}
		})
	}
}

// Buffers grew beyond the limit between two measurements.
func TestGrewAsksForAMeasurement(t *testing.T) {
	b := NewBuffers(8 << 20)
	if b.Grew(400 << 10) {
		t.Error("a measurement far from the limit")
	}
	if !b.Grew(200 << 10) {
		t.Error("no measurement after half of the limit")
	}
	b.Measuring()
	if b.Grew(100) {
		t.Error("a measurement after the last one")
	}
	if NewBuffers(0).Grew(1 << 30) {
		t.Error("a measurement without a limit")
	}
}
