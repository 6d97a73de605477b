package gate

import (
	"net/http"

	"github.com/cassialead/cassialead/hop"
)

// Claim is what a whole response states about its call. A response that is not whole states nothing.
type Claim uint8

// The claims of a response.
const (
	Inconclusive Claim = iota // states nothing: the call may have run, and the response can't be passed on
	Unsigned                  // a failure that the target has not signed; it is passed on, and the call may have run
	Genuine                   // the target's own answer, passed on unchanged
	NotExecuted               // the target did not execute the call
	WrongTarget               // a target other than the addressed one responded and did not execute the call
)

// Facts is what the head of a response to a call says about it.
type Facts struct {
	Status        int
	Signed        bool // bears the target's signature
	NotExecuted   bool // says that the target did not execute the call
	OtherInstance bool // names another instance than the addressed one
	Encoded       bool // its body has a further encoding; the response then counts as unsigned
}

// Claim returns what a response states about its call, provided that it is whole.
func (f Facts) Claim() Claim {
	success := f.Status/100 == 2
	switch {
	case !hop.FinalStatus(f.Status):
		return Inconclusive
	case f.NotExecuted && !success:
		return NotExecuted
	case f.Status == http.StatusMisdirectedRequest && f.OtherInstance:
		return WrongTarget
	case f.NotExecuted, hop.PromisesNotRun(f.Status):
		// The status or the body contradicts what the response states, or the target has run the call and promises that it hasn't.
		return Inconclusive
	case f.genuine():
		return Genuine
	case success:
		return Inconclusive
	}
	return Unsigned
}

// Own reports whether the target on this VM is known to have sent the response, so that its announcements count.
func (f Facts) Own() bool {
	claim := f.Claim()
	return claim == NotExecuted || claim != WrongTarget && f.genuine()
}

func (f Facts) genuine() bool { return f.Signed && !f.Encoded }
