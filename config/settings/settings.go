// Package settings reads the static settings of a process from JSON with comments. A process validates them before it
// opens any port.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Error describes a problem in a settings file and its position.
type Error struct {
	File string
	// Line is 1 for the first line, 0 if the position is unknown.
	Line    int
	Field   string
	Problem string
}

func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", position, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", position, e.Field, e.Problem)
}

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// DurationError reports that a text is not a duration.
type DurationError struct{ Text string }

func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration such as \"250ms\" or \"10s\"", e.Text)
}

// UnmarshalText implements encoding.TextUnmarshaler; it fails with a *DurationError.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// Load reads the file into dst, which holds the defaults, and validates the result by its "validate" tags. Unknown
// fields are rejected. A whole number may have a fraction of zero or an exponent. Every failure is an *Error.
func Load(file string, dst any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Problem: err.Error()}
	}
	return Parse(file, raw, dst)
}

// Parse is like Load for text that has already been read; file is used only in errors.
func Parse(file string, raw []byte, dst any) error {
	std, err := standardizeSettings(file, raw)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return decodeError(file, std, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: file, Line: lineAt(std, dec.InputOffset()), Problem: "text after the settings"}
	}
	return validateFields(file, std, dst)
}

func lineAt(text []byte, offset int64) int {
	if offset > int64(len(text)) {
		offset = int64(len(text))
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

func decodeError(file string, std []byte, offset int64, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		problem := fmt.Sprintf("%s is not a %s", wrongType.Value, wrongType.Type)
		return &Error{File: file, Line: lineAt(std, wrongType.Offset), Field: wrongType.Field, Problem: problem}
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		field = strings.Trim(field, `"`)
		return &Error{File: file, Line: lineOfField(std, field), Field: field, Problem: "unknown field"}
	}
	var invalidDuration *DurationError
	if errors.As(err, &invalidDuration) {
		return &Error{File: file, Line: lineOfText(std, `"`+invalidDuration.Text+`"`), Problem: invalidDuration.Error()}
	}
	return &Error{File: file, Line: lineAt(std, offset), Problem: err.Error()}
}

func lineOfField(text []byte, field string) int { return lineOfText(text, `"`+field+`"`) }

func lineOfText(text []byte, needle string) int {
	i := bytes.Index(text, []byte(needle))
	if i < 0 {
		return 0
	}
	return lineAt(text, int64(i))
}

func validateFields(file string, std []byte, dst any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	err := v.Struct(dst)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		if err != nil {
			return &Error{File: file, Problem: err.Error()}
		}
		return nil
	}
	f := fields[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	rule := f.Tag()
	if f.Param() != "" {
		rule += "=" + f.Param()
	}
	problem := fmt.Sprintf("value %v does not satisfy %s", f.Value(), rule)
	return &Error{File: file, Line: lineOfField(std, f.Field()), Field: path, Problem: problem}
}

// IsAddress reports whether the text is an address: a host and a port, joined by a colon.
func IsAddress(text string) bool { return validator.New().Var(text, "hostname_port") == nil }

// FormatJSON returns settings as indented JSON.
func FormatJSON(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
