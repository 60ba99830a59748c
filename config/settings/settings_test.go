package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Listen string   `json:"listen" validate:"required,hostname_port"`
	Idle   Duration `json:"idle"`
	Count  int      `json:"count" validate:"min=1"`
}

// Guards against settings errors that omit the file, line or field.
func TestParseNamesFileLineAndField(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		line  int
		field string
	}{
		"unknown field": {"{\n  // a comment\n  \"listen\": \"127.0.0.1:1\",\n  \"lisen\": 1\n}", 4, "lisen"},
		"wrong type":    {"{\n  \"count\": \"x\"\n}", 2, "count"},
		"invalid value": {"{\n  \"listen\": \"127.0.0.1:1\",\n  \"count\": 0\n}", 3, "count"},
		"bad duration":  {"{\n  \"listen\": \"127.0.0.1:1\",\n\n  \"idle\": \"soon\"\n}", 4, ""},
		"bad syntax":    {"{\n  \"listen\": \n}", 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			err := Parse("s.json", []byte(c.text), &sample{Count: 1})
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, "s.json", e.File)
			require.Equal(t, c.line, e.Line, e.Error())
			require.Equal(t, c.field, e.Field)
		})
	}
}

// Guards against defaults that are lost when a file omits a field.
func TestParseKeepsDefaults(t *testing.T) {
	s := sample{Idle: Duration(time.Second), Count: 3}
	require.NoError(t, Parse("s.json", []byte(`{"listen": "127.0.0.1:1", /* c */ }`), &s))
	require.Equal(t, 3, s.Count)
	require.Equal(t, time.Second, s.Idle.D())
}
