package exchange

import (
	"bufio"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Positions in a status line: a protocol version such as HTTP/1.1, a space, three digits, a space or the end of the line.
const (
	statusAt  = 9
	statusEnd = 12
)

// errStatus is returned for a response whose status is not one of a final or an informational response.
var errStatus = errors.New("invalid status")

// checkStatus checks the next response's status line up to its status, which has to be one of 100 to 599. http.ReadResponse skips
// further spaces before the status, and takes "+20" and 999 for statuses. No byte is awaited behind the first invalid one.
func checkStatus(br *bufio.Reader) error {
	for i := range statusEnd + 1 {
		head, err := br.Peek(i + 1)
		if err != nil {
			return err
		}
		b, valid := head[i], true
		switch {
		case i < statusAt-1:
			valid = b != ' ' && b != '\n'
		case i == statusAt-1:
			valid = b == ' '
		case i == statusAt:
			valid = '1' <= b && b <= '5'
		case i < statusEnd:
			valid = '0' <= b && b <= '9'
		default:
			valid = b == ' ' || b == '\r' || b == '\n'
		}
		if !valid {
			return errors.Wrapf(errStatus, "status line begins with %q", head)
		}
	}
	return nil
}

// checkInformational rejects a 1xx response that has a body, whose bytes would be read as the next response, and a change of
// protocol, which no request asks for.
func checkInformational(resp *http.Response) error {
	_, length := resp.Header["Content-Length"]
	switch {
	case resp.StatusCode >= http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusSwitchingProtocols, length, len(resp.TransferEncoding) > 0:
		return errors.Wrapf(errStatus, "%d with a body or a change of protocol", resp.StatusCode)
	}
	return nil
}
