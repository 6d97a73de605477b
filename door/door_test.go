package door

import (
	"errors"
	"testing"
	"time"
)

// clock is a time that tests move.
type clock struct{ t time.Time }

func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

// holder is a hold of a test: it has taken bytes, has received some at a time and none since.
type holder struct {
	bytes    Bytes
	age      time.Duration // since it took its bytes
	received int
	idle     time.Duration // since its latest progress
	pinned   bool
}

// A stalled or slow client kept the memory that others needed, or one that makes progress lost it.
func TestTakeClosesTheStalledAndTheSlowest(t *testing.T) {
	const limit = 1000
	for name, c := range map[string]struct {
		holders []holder
		take    Bytes
		answer  bool
		want    error
		closed  []int
	}{
		"room for all":                   {holders: []holder{{bytes: 400, age: 9 * time.Second, idle: 9 * time.Second}}, take: 600},
		"the longest stall first":        {holders: []holder{{bytes: 500, age: 2 * time.Second, idle: time.Second}, {bytes: 500, age: 2 * time.Second, idle: 2 * time.Second}}, take: 100, closed: []int{1}},
		"as many as needed":              {holders: []holder{{bytes: 500, age: 2 * time.Second, idle: time.Second}, {bytes: 500, age: 2 * time.Second, idle: 2 * time.Second}}, take: 800, closed: []int{0, 1}},
		"stalled before slow":            {holders: []holder{{bytes: 500, age: 3 * time.Second, received: 1}, {bytes: 500, age: 3 * time.Second, received: 9000, idle: time.Second}}, take: 100, closed: []int{1}},
		"the slowest if none is stalled": {holders: []holder{{bytes: 500, age: 3 * time.Second, received: 9000}, {bytes: 500, age: 3 * time.Second, received: 10}}, take: 100, closed: []int{1}},
		"none that has just begun":       {holders: []holder{{bytes: 1000, age: time.Millisecond}}, take: 100, want: ErrFull},
		"none whose request runs":        {holders: []holder{{bytes: 1000, age: 9 * time.Second, idle: 9 * time.Second, pinned: true}}, take: 100, want: ErrFull},
		"more than all":                  {take: 1001, want: ErrFull},
		"an answer closes a short stall": {holders: []holder{{bytes: 1000, age: 9 * time.Millisecond, idle: 9 * time.Millisecond}}, take: 100, answer: true, closed: []int{0}},
		"an answer is never refused":     {holders: []holder{{bytes: 1000, age: 9 * time.Second, pinned: true}}, take: 100, answer: true},
	} {
		t.Run(name, func(t *testing.T) {
			cl := &clock{t: time.Unix(0, 0)}
			b := NewBudget(limit*memoryShare, cl.now)
			closed := make([]bool, len(c.holders))
			oldest := time.Duration(0)
			for _, h := range c.holders {
				oldest = max(oldest, h.age)
			}
			begun, holds := cl.t, make([]*Hold, len(c.holders))
			for i, h := range c.holders {
				cl.t = begun.Add(oldest - h.age)
				holds[i] = b.Open(func() { closed[i] = true })
				if err := holds[i].Take(h.bytes); err != nil {
					t.Fatal(err)
				}
				cl.t = begun.Add(oldest - h.idle)
				holds[i].Progress(h.received)
				if h.pinned && holds[i].Pin() != nil {
					t.Fatal("a hold that was not closed can't be pinned")
				}
			}
			cl.t = begun.Add(oldest)
			self := b.Open(func() { t.Error("the taker was closed") })
			take := self.Take
			if c.answer {
				take = self.TakeAnswer
			}
			if err := take(c.take); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
			want := make([]bool, len(c.holders))
			for _, i := range c.closed {
				want[i] = true
			}
			for i := range want {
				if closed[i] != want[i] {
					t.Errorf("hold %d: closed %v, want %v", i, closed[i], want[i])
				}
				if err := holds[i].Take(0); want[i] && !errors.Is(err, ErrClosed) {
					t.Errorf("hold %d takes memory after it was closed: %v", i, err)
				}
				holds[i].Release()
			}
			if self.Release(); b.Used() != 0 {
				t.Errorf("%d bytes in use after all were released", b.Used())
			}
		})
	}
}

// A single body of the largest size was refused on the smallest VM, or two of them exceeded its memory.
func TestOneLargeBody(t *testing.T) {
	const mb = 1 << 20
	for name, c := range map[string]struct{ memory, largest, share Bytes }{
		"smallest":   {184 * mb, 72 * mb, 23 * mb},
		"large":      {1024 * mb, 128 * mb, 128 * mb},
		"test's own": {64 * mb, 8 * mb, 8 * mb},
	} {
		cl := &clock{t: time.Unix(0, 0)}
		b := NewBudget(c.memory, cl.now)
		if b.Largest() != c.largest {
			t.Errorf("%s: the largest body has %d bytes, want %d", name, b.Largest(), c.largest)
		}
		large, small := b.Open(func() {}), b.Open(func() {})
		for range c.largest / mb {
			if err := large.Take(mb); err != nil {
				t.Fatalf("%s: the only body got %v after %d bytes", name, err, b.Used())
			}
		}
		second := b.Open(func() {})
		if err := second.Take(c.share + mb); !errors.Is(err, ErrFull) {
			t.Errorf("%s: a second body beyond the share got %v", name, err)
		}
		if err := small.Take(c.share); c.largest > c.share && err != nil {
			t.Errorf("%s: a small body beside the large one got %v", name, err)
		}
	}
}

// Buffers grew with the declared length of a body before its bytes had arrived.
func TestCapacity(t *testing.T) {
	for name, c := range map[string]struct{ have, declared, most, want, least int64 }{
		"short":                                    {0, 2000, 1 << 20, 2000, 2000},
		"long, nothing arrived":                    {0, 1 << 20, 1 << 20, firstCapacity, firstCapacity},
		"long, less than the share":                {1 << 16, 1 << 20, 1 << 20, 1 << 17, 1 << 17},
		"long, the share arrived":                  {1 << 17, 1 << 20, 1 << 20, 1 << 20, 1 << 18},
		"unknown length":                           {1 << 18, -1, 1 << 20, 1 << 19, 1 << 19},
		"unknown length, at the longest":           {1 << 20, -1, 1 << 20, 1<<20 + 1, 1<<20 + 1},
		"unknown length, the share of a large one": {9 << 20, -1, 64 << 20, 64<<20 + 1, 18 << 20},
	} {
		if got, least := Capacity(c.have, c.declared, c.most); got != c.want || least != c.least {
			t.Errorf("%s: got %d and %d, want %d and %d", name, got, least, c.want, c.least)
		}
	}
}

// A new connection closed one that runs a request or belongs to another node, or found no room beside idle ones.
func TestAdmitClosesTheLongestIdle(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(first, second *Socket)
		verdict Verdict
		closed  int // index of the closed connection, or -1
	}{
		"the oldest":                  {func(_, _ *Socket) {}, Replaced, 0},
		"not after progress":          {func(first, _ *Socket) { first.Progress() }, Replaced, 1},
		"not while its request runs":  {func(first, _ *Socket) { first.SetRunning(true) }, Replaced, 1},
		"not that of another node":    {func(first, _ *Socket) { first.Keep() }, Replaced, 1},
		"none if all are running":     {func(first, second *Socket) { first.SetRunning(true); second.Keep() }, Rejected, -1},
		"none if one has been closed": {func(first, _ *Socket) { first.Remove() }, Accepted, -1},
	} {
		t.Run(name, func(t *testing.T) {
			cl := &clock{t: time.Unix(0, 0)}
			table := NewSockets(2, cl.now)
			closed := -1
			var sockets []*Socket
			for i := range 2 {
				s, _ := table.Admit(true, func() { closed = i })
				sockets = append(sockets, s)
				cl.advance(time.Second)
			}
			c.prepare(sockets[0], sockets[1])
			if _, got := table.Admit(true, func() {}); got != c.verdict || closed != c.closed {
				t.Errorf("verdict %d closed %d, want %d and %d", got, closed, c.verdict, c.closed)
			}
			if table.Open() > 2 {
				t.Errorf("%d connections, want at most 2", table.Open())
			}
		})
	}
}

// Connections from unknown addresses took the places of other nodes, or those of nodes gave way to them.
func TestAdmitLimitsUnknownAddresses(t *testing.T) {
	const known, unknown = true, false
	for name, c := range map[string]struct {
		open    []bool
		keep    int // index of the connection that is kept, or -1
		run     int // index of the connection whose request runs, or -1
		next    bool
		verdict Verdict
		closed  int // index of the closed connection, or -1
	}{
		"within their half":                         {[]bool{unknown, known}, -1, -1, unknown, Accepted, -1},
		"beyond their half":                         {[]bool{known, unknown, unknown}, -1, -1, unknown, Replaced, 1},
		"beyond their half, kept":                   {[]bool{known, unknown, unknown}, 1, -1, unknown, Replaced, 1},
		"beyond their half, one runs":               {[]bool{unknown, unknown}, -1, 0, unknown, Replaced, 1},
		"a known one takes the place of an unknown": {[]bool{known, known, unknown, unknown}, 2, -1, known, Replaced, 2},
		"a known one beside unknown ones":           {[]bool{unknown, unknown}, -1, -1, known, Accepted, -1},
	} {
		t.Run(name, func(t *testing.T) {
			cl := &clock{t: time.Unix(0, 0)}
			table := NewSockets(4, cl.now)
			closed := -1
			for i, known := range c.open {
				s, _ := table.Admit(known, func() { closed = i })
				if i == c.keep {
					s.Keep()
				}
				s.SetRunning(i == c.run)
				cl.advance(time.Second)
			}
			if _, got := table.Admit(c.next, func() {}); got != c.verdict || closed != c.closed {
				t.Errorf("verdict %d closed %d, want %d and %d", got, closed, c.verdict, c.closed)
			}
		})
	}
}

// The shares of the listeners left no descriptors for connections to targets, other nodes and the store.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		descriptors int
		memory      Bytes
		want        Shares
	}{
		"no settings":    {0, 0, Shares{1218, 1462, 121}},
		"smallest VM":    {4100, 184 << 20, Shares{920, 1104, 92}},
		"test's own":     {400, 64 << 20, Shares{62, 75, 16}},
		"fewer than any": {100, 64 << 20, Shares{16, 16, 16}},
	} {
		if got := NewShares(c.descriptors, c.memory); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// A request with a head of ordinary size was charged, or many short fields cost less than they hold.
func TestHeadCost(t *testing.T) {
	for name, c := range map[string]struct {
		size, lines int
		want        Bytes
	}{
		"ordinary":          {900, 20, 0},
		"long cookies":      {12 << 10, 20, 8 << 10},
		"many short fields": {16 << 10, 3064, 16<<10 + 3000*lineBytes},
	} {
		if got := HeadCost(c.size, c.lines); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

// New requests ran while unread answers had used up the memory, or were refused because of bodies that stall.
func TestPressed(t *testing.T) {
	for name, c := range map[string]struct {
		answers []Bytes
		body    Bytes
		wait    time.Duration
		release bool
		want    bool
	}{
		"answers within three quarters":  {answers: []Bytes{700}},
		"answers beyond three quarters":  {answers: []Bytes{800}, want: true},
		"answers that have been sent":    {answers: []Bytes{800}, release: true},
		"an answer had to give way":      {answers: []Bytes{600, 600}, release: true, want: true},
		"an answer had to give way once": {answers: []Bytes{600, 600}, release: true, wait: pressedTime},
		"a body":                         {body: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			cl := &clock{t: time.Unix(0, 0)}
			b := NewBudget(1000*memoryShare, cl.now)
			if err := b.Open(func() {}).Take(c.body); err != nil {
				t.Fatal(err)
			}
			var holds []*Hold
			for _, n := range c.answers {
				h := b.Open(func() {})
				if err := h.TakeAnswer(n); err != nil {
					t.Fatal(err)
				}
				holds = append(holds, h)
				cl.advance(time.Millisecond)
			}
			for _, h := range holds {
				if c.release {
					h.Release()
				}
			}
			cl.advance(c.wait)
			if got := b.Pressed(); got != c.want {
				t.Errorf("pressed %v, want %v", got, c.want)
			}
		})
	}
}
