package configfile

import (
	"errors"
	"os"
	"testing"

	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/settings"
)

// Guards against input on which the parser panics or returns an error without the file name, and against parsed objects
// without a type.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"association", "cooperative"} {
		raw, err := os.ReadFile("../../../examples/" + name + ".jsonc")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	for _, text := range []string{"", "{", "[]", `{"models": null}`, `{"models": [{"name": 1}]}`, `{"deletes": [{}]}`, `{"limits": []}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := Parse("x.jsonc", raw)
		if err != nil {
			var e *settings.Error
			if !errors.As(err, &e) || e.File != "x.jsonc" {
				t.Fatalf("error %v does not name the file", err)
			}
			return
		}
		for _, o := range file.Upserts {
			if cluster.RefOf(o).Type == "" {
				t.Fatalf("object %v has no type", o)
			}
		}
	})
}
