package configfile

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/config/cluster"
	"lavendermoor.example/config/settings"
)

// Guards against example files that an operator cannot apply unchanged.
func TestExamplesApplyCleanly(t *testing.T) {
	for file, service := range map[string]string{"association": "booking", "cooperative": "lights"} {
		t.Run(file, func(t *testing.T) {
			f, err := Read("../../../examples/" + file + ".jsonc")
			require.NoError(t, err)
			c := &operatorv1.Change{Revision: 1, Upserts: f.Upserts, Deletes: f.Deletes}
			require.NoError(t, cluster.DeriveServiceMembers(cluster.Empty(), c))
			s, err := cluster.Empty().Apply(c)
			require.NoError(t, err)
			domains := map[string]bool{}
			for _, v := range s.Servers() {
				domains[v.GetFailureDomain()] = true
			}
			require.Len(t, domains, 3)
			require.Len(t, s.ServersOfModel(s.ModelNames()[0]), 12)
			require.Len(t, s.Service(service).GetServers(), 3)
			require.Equal(t, int64(1), s.Service(service).GetEpoch())
		})
	}
}

// Guards against errors that omit the position in a file of many objects.
func TestErrorsNameFileLineAndField(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		line  int
		field string
	}{
		"unknown section": {"{\n  // c\n  \"modells\": []\n}", 3, "modells"},
		"unknown field":   {"{\n \"models\": [\n  { \"name\": \"m\",\n    \"nam\": 1 }\n ]\n}", 4, "models[0].nam"},
		"wrong type":      {"{\n \"groups\": [\n  { \"name\": \"g\",\n\n    \"ranks\": \"many\" }\n ]\n}", 5, "groups[0].ranks"},
		"repeated object": {"{\n \"models\": [\n  { \"name\": \"m\" },\n  { \"name\": \"m\" }\n ]\n}", 4, "models[1]"},
		"not a list":      {"{\n \"models\": {}\n}", 2, "models"},
		"bad syntax":      {"{\n \"models\": [\n  { \"name\" }\n ]\n}", 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("c.jsonc", []byte(c.text))
			var e *settings.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, "c.jsonc", e.File)
			require.Equal(t, c.line, e.Line, e.Error())
			require.Equal(t, c.field, e.Field, e.Error())
		})
	}
}

// Guards against validation errors of the entry that cannot be located in the file that was sent to it.
func TestLocateFindsFieldOfObject(t *testing.T) {
	f, err := Parse("c.jsonc", []byte("{\n \"models\": [{ \"name\": \"a\" },\n  { \"name\": \"b\",\n    \"versions\": [\"\"] }]\n}"))
	require.NoError(t, err)
	e, ok := f.Locate(cluster.Ref{Type: cluster.TypeModel, Name: "b"}, "versions", "value is empty")
	require.True(t, ok)
	require.Equal(t, "c.jsonc:4: model/b.versions: value is empty", e.Error())
	_, ok = f.Locate(cluster.Ref{Type: cluster.TypeModel, Name: "z"}, "versions", "")
	require.False(t, ok)
}
