package hop

import "net/http"

const maxStatus = 599 // of a final response

// FinalStatus reports whether a status is one of a final response.
func FinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// PromisesNotRun reports whether callers take a status for the promise that their request has not run and never will. Only a
// Refused outcome gives that promise.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
