// Package configfile reads files of configuration objects in JSON with comments. Errors contain file, line and field.
package configfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/settings"
)

// File is the content of one file.
type File struct {
	Name      string
	Upserts   []*operatorv1.Object
	Deletes   []*operatorv1.ObjectRef
	positions map[cluster.Ref]objectPosition
}

// objectPosition is the position of an object in the file, with its text.
type objectPosition struct {
	line int
	text []byte
}

// section describes one field at the top level of a file. objectType is empty for the field deletes, which lists
// references to objects.
type section struct {
	objectType cluster.Type
	list       bool
}

// deletes is the field that lists objects to delete.
const deletes = "deletes"

var sections = map[string]section{
	"models":    {cluster.TypeModel, true},
	"groups":    {cluster.TypeGroup, true},
	"servers":   {cluster.TypeServer, true},
	"services":  {cluster.TypeService, true},
	"customers": {cluster.TypeCustomer, true},
	"rules":     {cluster.TypeRule, true},
	"operators": {cluster.TypeOperator, true},
	"limits":    {cluster.TypeLimits, false},
	deletes:     {"", true},
}

// Read reads a file; "-" is standard input. Every failure is a *settings.Error.
func Read(name string) (*File, error) {
	var raw []byte
	var err error
	if name == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &settings.Error{File: name, Problem: err.Error()}
	}
	return Parse(name, raw)
}

// Parse is like Read for text that has already been read; name is used in errors.
func Parse(name string, raw []byte) (*File, error) {
	std, err := settings.Standardize(name, raw)
	if err != nil {
		return nil, err
	}
	p := &parser{
		file: &File{Name: name, positions: map[cluster.Ref]objectPosition{}},
		text: std, dec: json.NewDecoder(bytes.NewReader(std)),
	}
	if err := p.parseFile(); err != nil {
		return nil, err
	}
	return p.file, nil
}

// Locate returns a *settings.Error for a problem with a field of an object. Its line is that of the field, or that of
// the object if the object's text does not contain the field. It returns false if the object is not in the file.
func (f *File) Locate(ref cluster.Ref, field, problem string) (*settings.Error, bool) {
	p, ok := f.positions[ref]
	if !ok {
		return nil, false
	}
	line := p.line
	if i := bytes.Index(p.text, []byte(strconv.Quote(field))); i >= 0 {
		line += bytes.Count(p.text[:i], []byte("\n"))
	}
	return &settings.Error{File: f.Name, Line: line, Field: ref.String() + "." + field, Problem: problem}, true
}

// parser decodes the top level of a file with encoding/json, and each element in it with protojson.
type parser struct {
	file *File
	text []byte
	dec  *json.Decoder
}

func (p *parser) line() int { return lineAt(p.text, p.dec.InputOffset()) }

func lineAt(text []byte, offset int64) int { return 1 + bytes.Count(text[:offset], []byte("\n")) }

func (p *parser) errorAt(line int, field, problem string) error {
	return &settings.Error{File: p.file.Name, Line: line, Field: field, Problem: problem}
}

func (p *parser) expect(d json.Delim, field string) error {
	t, err := p.dec.Token()
	if err != nil {
		return p.errorAt(p.line(), field, err.Error())
	}
	if t != d {
		return p.errorAt(p.line(), field, fmt.Sprintf("expected %q, found %v", d, t))
	}
	return nil
}

func (p *parser) parseFile() error {
	if err := p.expect('{', ""); err != nil {
		return err
	}
	for p.dec.More() {
		if err := p.parseSection(); err != nil {
			return err
		}
	}
	if err := p.expect('}', ""); err != nil {
		return err
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return p.errorAt(p.line(), "", "text after the configuration")
	}
	return nil
}

func (p *parser) parseSection() error {
	t, err := p.dec.Token()
	if err != nil {
		return p.errorAt(p.line(), "", err.Error())
	}
	name, _ := t.(string)
	s, ok := sections[name]
	if !ok {
		return p.errorAt(p.line(), name, "unknown field")
	}
	if !s.list {
		return p.parseElement(name, s)
	}
	if err := p.expect('[', name); err != nil {
		return err
	}
	for i := 0; p.dec.More(); i++ {
		if err := p.parseElement(fmt.Sprintf("%s[%d]", name, i), s); err != nil {
			return err
		}
	}
	return p.expect(']', name)
}

func (p *parser) parseElement(field string, s section) error {
	var raw json.RawMessage
	if err := p.dec.Decode(&raw); err != nil {
		return p.errorAt(p.line(), field, err.Error())
	}
	line := lineAt(p.text, p.dec.InputOffset()-int64(len(raw)))
	if s.objectType == "" {
		ref := &operatorv1.ObjectRef{}
		if err := protojson.Unmarshal(raw, ref); err != nil {
			return p.protoError(line, field, err)
		}
		p.file.Deletes = append(p.file.Deletes, ref)
		return nil
	}
	o, err := decodeObject(s.objectType, raw)
	if err != nil {
		return p.protoError(line, field, err)
	}
	ref := cluster.RefOf(o)
	if first, ok := p.file.positions[ref]; ok {
		return p.errorAt(line, field, fmt.Sprintf("%s is also in line %d", ref, first.line))
	}
	p.file.positions[ref] = objectPosition{line: line, text: raw}
	p.file.Upserts = append(p.file.Upserts, o)
	return nil
}

// decodeObject decodes an object from the JSON of its content, by wrapping it in the field of its type.
func decodeObject(objectType cluster.Type, raw []byte) (*operatorv1.Object, error) {
	wrapped := append([]byte(`{"`+string(objectType)+`":`), raw...)
	wrapped = append(wrapped, '}')
	o := &operatorv1.Object{}
	err := protojson.Unmarshal(wrapped, o)
	return o, err
}

var (
	protoPosition = regexp.MustCompile(`\(line (\d+):\d+\):\s*`)
	protoField    = regexp.MustCompile(`field "?([\w.]+)"?`)
)

// protoError converts an error of protojson, which contains the line and the field only in its text. line and field are
// the position of the element that protojson decoded; lines in its errors count from there.
func (p *parser) protoError(line int, field string, err error) error {
	// In some builds protojson writes a non-breaking space after its prefix.
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "proto:"), "\u00a0", " ")
	text = strings.TrimSpace(text)
	if m := protoPosition.FindStringSubmatch(text); m != nil {
		if n, convErr := strconv.Atoi(m[1]); convErr == nil {
			line += n - 1
		}
		text = protoPosition.ReplaceAllString(text, "")
	}
	if m := protoField.FindStringSubmatch(text); m != nil {
		field += "." + m[1]
	}
	return p.errorAt(line, field, text)
}
