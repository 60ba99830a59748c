package idempotency

import "testing"

// Guards against a text that makes ParseToken panic, or whose token names no server or no incarnation.
func FuzzParseToken(f *testing.F) {
	for _, text := range []string{"", "a", "a.1.1.AAAA", "a.b.1.1.AAAA", "a.-1.1.AAAA", "a.1.9223372036854775808.AAAA", "...."} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		token, ok := ParseToken(text)
		if ok && (token.Server == "" || token.Incarnation <= 0) {
			t.Fatalf("token %q was parsed as %+v", text, token)
		}
	})
}
