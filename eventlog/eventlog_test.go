package eventlog_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/eventlog"
)

// output is a log output; its writes wait until unblock is closed, unless it is nil.
type output struct {
	mu      sync.Mutex
	lines   bytes.Buffer
	unblock chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.Write(p)
}

var _ = Describe("the log", func() {
	It("limits the lines per event, keeps the first and counts the omitted ones", func() {
		o := &output{}
		w := eventlog.NewWriter(o)
		log := eventlog.New(w, "vm-1")
		for range 1000 {
			log.Info("flood")
		}
		log.Info("other event")
		time.Sleep(1100 * time.Millisecond)
		log.Info("flood")
		w.Close()
		text := o.lines.String()
		Expect(strings.Count(text, `"msg":"flood"`)).To(BeNumerically("<", 100))
		Expect(text).To(ContainSubstring(`"msg":"other event"`))
		Expect(text).To(ContainSubstring(`"omitted":9`))
	})
	It("limits the lines of another handler, too", func() {
		o := &output{}
		log := slog.New(eventlog.Limit(slog.NewTextHandler(o, nil)))
		for range 1000 {
			log.Info("flood")
		}
		Expect(strings.Count(o.lines.String(), "msg=flood")).To(BeNumerically("<", 100))
	})
	It("doesn't block the caller while the output is blocked", func() {
		o := &output{unblock: make(chan struct{})}
		w := eventlog.NewWriter(o)
		log := slog.New(slog.NewJSONHandler(w, nil))
		start := time.Now()
		for range 20000 {
			log.Info("a line for the blocked output")
		}
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		Expect(w.Dropped()).To(BeNumerically(">", 0))
		close(o.unblock)
		w.Close()
	})
})

var _ = Describe("the log lines of a request", func() {
	const log = `   1.5 vm-1 {"time":"2026-12-04T08:00:01.5Z","level":"INFO","msg":"call sent on","vm":"vm-1","call":"a1","cause":"busy","left":1500000}
{"time":"2026-12-04T08:00:01.2Z","level":"INFO","msg":"call failed at the target","vm":"vm-2","call":"a1.b2","cause":"broken"}
{"time":"2026-12-04T08:00:01.3Z","level":"INFO","msg":"call not served","vm":"vm-2","call":"a12"}
`
	It("include those of the calls made for it, in order of time", func() {
		lines, err := eventlog.ReadRequest("log", strings.NewReader(log), "a1")
		Expect(err).NotTo(HaveOccurred())
		eventlog.SortByTime(lines)
		Expect(lines).To(HaveLen(2))
		Expect(lines[0].Get("call")).To(Equal("a1.b2"))
		Expect(lines[1].VM).To(Equal("vm-1"))
		Expect(lines[1].Get("left")).To(Equal("1500000"))
	})
	It("are rejected with file and line number if one is malformed", func() {
		_, err := eventlog.ReadRequest("vm-1.log", strings.NewReader(log+"{a1"), "a1")
		Expect(err).To(MatchError(ContainSubstring("vm-1.log:4")))
		_, err = eventlog.ReadRequest("vm-1.log", io.LimitReader(strings.NewReader(log), 40), "a1")
		Expect(err).NotTo(HaveOccurred())
	})
})
