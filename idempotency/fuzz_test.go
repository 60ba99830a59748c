package idempotency

import "testing"

// Guards against a token in a form that makes the reader panic, or that names a server without an incarnation.
func FuzzParseToken(f *testing.F) {
	for _, text := range []string{"", "a", "a.1.1.AAAA", "a.b.1.1.AAAA", "a.-1.1.AAAA", "a.1.9223372036854775808.AAAA", "...."} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		token, ok := ParseToken(text)
		if ok && (token.Server == "" || token.Incarnation <= 0) {
			t.Fatalf("token %q was read as %+v", text, token)
		}
	})
}
