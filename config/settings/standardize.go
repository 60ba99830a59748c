package settings

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Standardize converts JSON with comments to plain JSON with the same line breaks. Every failure is an *Error; file is
// used only in errors.
func Standardize(file string, raw []byte) ([]byte, error) {
	value, err := parseHuJSON(file, raw)
	if err != nil {
		return nil, err
	}
	value.Standardize()
	return value.Pack(), nil
}

// standardizeSettings is like Standardize, and writes whole numbers without a fraction: encoding/json refuses 2000.0 and
// 2e3 for an integer.
func standardizeSettings(file string, raw []byte) ([]byte, error) {
	value, err := parseHuJSON(file, raw)
	if err != nil {
		return nil, err
	}
	for v := range value.All() {
		if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == '0' {
			v.Value = wholeNumber(literal)
		}
	}
	value.Standardize()
	return value.Pack(), nil
}

// maxExactInteger is the largest integer up to which each integer is a float64.
const maxExactInteger = 1 << 53

// wholeNumber returns a number without its fraction or exponent if its value is an integer, otherwise the number itself.
func wholeNumber(number hujson.Literal) hujson.Literal {
	if !bytes.ContainsAny(number, ".eE") {
		return number
	}
	v, err := strconv.ParseFloat(string(number), 64)
	if err != nil || v != math.Trunc(v) || math.Abs(v) > maxExactInteger {
		return number
	}
	return strconv.AppendInt(nil, int64(v), 10)
}

func parseHuJSON(file string, raw []byte) (hujson.Value, error) {
	value, err := hujson.Parse(bytes.Clone(raw))
	if err != nil {
		line, column := hujsonPosition(err)
		return value, &Error{File: file, Line: line, Field: fieldBefore(raw, line, column), Problem: err.Error()}
	}
	return value, nil
}

// hujsonPosition returns the line and the column in the text of a hujson error, 0 if there are none.
func hujsonPosition(err error) (line, column int) {
	text := err.Error()
	if i := strings.Index(text, "line "); i >= 0 {
		if _, scanErr := fmt.Sscanf(text[i:], "line %d, column %d", &line, &column); scanErr == nil {
			return line, column
		}
	}
	return 0, 0
}

// fieldName matches the end of a text that ends before the value of a field.
var fieldName = regexp.MustCompile(`"([^"\\]+)"[ \t]*:[ \t]*$`)

// fieldBefore returns the name of the field whose value begins at the position, empty if none does in this line.
func fieldBefore(raw []byte, line, column int) string {
	lines := bytes.Split(raw, []byte("\n"))
	if line < 1 || line > len(lines) || column < 1 || column > len(lines[line-1])+1 {
		return ""
	}
	match := fieldName.FindSubmatch(lines[line-1][:column-1])
	if match == nil {
		return ""
	}
	return string(match[1])
}
