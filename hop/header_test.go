package hop_test

import (
	"encoding/base64"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/ugorji/go/codec"

	"github.com/cassialead/cassialead/hop"
)

const outcomeHeader = "Cassialead-Outcome"

// earlierOutcome is the outcome header without the fields that were added later.
type earlierOutcome struct {
	ID                                 string
	Kind                               uint8
	Cause                              string
	RetryAfterUs                       int64
	Running, Waiting, Limit            int
	ServiceTimeUs, ExpectedWaitUs      int64
	FailurePercent                     int
	Cold, Overloaded                   bool
	UplinkBacklogUs, DownlinkBacklogUs int64
	TargetStatus                       int
}

func handle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.StructToArray = true
	return h
}

var _ = Describe("the outcome header", func() {
	limited := hop.Refused{Cause: hop.TooLate, RetryAfter: time.Second, Load: hop.Load{Running: 3, Limit: 9, RateLimit: 4.5, RateWait: -200 * time.Millisecond, Leaving: true}}
	It("carries the rate limit and the leaving of the target", func() {
		h := http.Header{}
		status := hop.WriteOutcome(h, "1", limited)
		o, id, err := hop.ReadOutcome(&http.Response{StatusCode: status, Header: h})
		Expect(err).NotTo(HaveOccurred())
		Expect(id).To(BeEquivalentTo("1"))
		Expect(o).To(Equal(limited))
	})
	It("is read by nodes of an earlier version", func() {
		h := http.Header{}
		hop.WriteOutcome(h, "1", limited)
		b, err := base64.RawURLEncoding.DecodeString(h[outcomeHeader][0])
		Expect(err).NotTo(HaveOccurred())
		var w earlierOutcome
		Expect(codec.NewDecoderBytes(b, handle()).Decode(&w)).To(Succeed())
		Expect(w).To(Equal(earlierOutcome{ID: "1", Kind: 1, Cause: "too-late", RetryAfterUs: 1e6, Running: 3, Limit: 9, TargetStatus: 503}))
	})
	It("is read from nodes of an earlier version", func() {
		var b []byte
		codec.NewEncoderBytes(&b, handle()).MustEncode(earlierOutcome{ID: "1", Kind: 1, Cause: "busy", Running: 9, Limit: 9, TargetStatus: 503})
		h := http.Header{outcomeHeader: {base64.RawURLEncoding.EncodeToString(b)}}
		o, _, err := hop.ReadOutcome(&http.Response{StatusCode: 503, Header: h})
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(hop.Refused{Cause: hop.Busy, Load: hop.Load{Running: 9, Limit: 9}}))
	})
	// A node of an earlier version passes on a status that promises what its target has not stated.
	It("makes no answer of a status that promises that the call has not run", func() {
		for _, status := range []int{408, 421, 429, 503} {
			h := http.Header{}
			hop.WriteOutcome(h, "1", &hop.Answered{Status: status})
			o, _, err := hop.ReadOutcome(&http.Response{StatusCode: status, Header: h})
			Expect(err).NotTo(HaveOccurred())
			Expect(o).To(Equal(hop.Failed{Cause: hop.Unstated}))
		}
	})
})
