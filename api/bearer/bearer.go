// Package bearer reads the bearer keys of requests (RFC 6750, section 2.1).
package bearer

import (
	"net/http"
	"strings"
)

const (
	authorizationHeader = "Authorization"
	scheme              = "Bearer"
)

// Key returns the key of a request. It returns an empty key and false if the request has no Authorization header, one of
// another scheme or with an empty key, or more than one. The header has a single value (RFC 9110, section 11.6.2), and of
// several ones another process on the path may have checked another one.
func Key(h http.Header) (string, bool) {
	values := h[authorizationHeader]
	if len(values) != 1 {
		return "", false
	}
	got, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(got, scheme) || key == "" {
		return "", false
	}
	return key, true
}
