// Package httpstatus classifies the status codes of HTTP responses (RFC 9110, section 15). The client of net/http returns a
// response with any three characters as its code that are a number of 0 or more.
package httpstatus

import (
	"fmt"
	"net/http"
)

// maxFinal is the highest status code of a final response.
const maxFinal = 599

// IsInterim reports whether a response with the code is followed by another response to the same request. A response with
// http.StatusSwitchingProtocols is not: after it, the connection belongs to another protocol.
func IsInterim(code int) bool {
	return code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
}

// InvalidError reports a status code that a final response to a request cannot have, unless the request asks for another
// protocol. The request may have been executed.
type InvalidError struct{ Code int }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("the status %03d is not that of an answer", e.Code)
}

// CheckFinal returns an *InvalidError for a code that is not one of a final response to a request which does not ask for
// another protocol.
func CheckFinal(code int) error {
	if code < http.StatusOK || code > maxFinal {
		return &InvalidError{Code: code}
	}
	return nil
}

// IsRejection reports whether a code states that the request was rejected, and so has not been executed. Of the codes that are
// not client errors, only those that a protocol defines so state that. http.StatusRequestTimeout does not: a proxy that
// waits too long for the response sends it too, after it has forwarded the request.
func IsRejection(code int) bool {
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError && code != http.StatusRequestTimeout
}
