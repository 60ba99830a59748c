package gatewayd

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/clients/kv"
	"lavendermoor.example/configsync/mirror"
	"lavendermoor.example/telemetry"
)

// configSnapshot returns a snapshot of the keys below op/ with a configuration and evacuation records.
func configSnapshot(era int64, config string, domains ...string) *mirror.Snapshot {
	s := &mirror.Snapshot{At: kv.Position{Era: era, Revision: 1}, Entries: map[string]kv.Entry{"op/config": {Value: []byte(config)}}}
	for _, domain := range domains {
		s.Entries["op/evacuate/"+domain] = kv.Entry{Value: []byte("{}")}
	}
	return s
}

func newTestGateway(t *testing.T) *gateway {
	t.Helper()
	s := DefaultSettings()
	s.Name, s.FailureDomain, s.Store = "g", "d", "127.0.0.1:1"
	g, err := newGateway(s, telemetry.NewBoundedWriter(&bytes.Buffer{}))
	require.NoError(t, err)
	return g
}

// Guards against an evacuation that is not applied because the configuration cannot be decoded, against a gateway that
// starts during an evacuation and serves before it applies the records, and against records that are lost in a restore.
func TestEvacuationRecordsAreApplied(t *testing.T) {
	g := newTestGateway(t)
	g.onConfigChange(configSnapshot(0, "not JSON", "d1"))
	require.Equal(t, []string{"d1"}, g.fleet.Evacuated())
	require.Nil(t, g.srv.Catalog())
	g.onConfigChange(configSnapshot(0, `{"Version":1}`, "d1", "d2"))
	require.NotNil(t, g.srv.Catalog())
	require.Equal(t, []string{"d1", "d2"}, g.fleet.Evacuated())
	g.onConfigChange(configSnapshot(0, `{"Version":1}`, "d2"))
	require.Equal(t, []string{"d2"}, g.fleet.Evacuated(), "also if the configuration has not changed")

	g.onConfigChange(configSnapshot(1, `{"Version":1}`))
	require.Equal(t, []string{"d2"}, g.fleet.Evacuated(), "the restored copy lacks the record")
	g.evacuations.expire(time.Now())
	require.Equal(t, []string{"d2"}, g.fleet.Evacuated())
	g.evacuations.expire(time.Now().Add(time.Minute))
	require.Empty(t, g.fleet.Evacuated())
}

// Guards against a configuration or a server list whose warm-up does not reach the choice of servers.
func TestWarmupsAreApplied(t *testing.T) {
	g := newTestGateway(t)
	g.onServersChange(map[string]kv.Entry{"servers/a": {Value: []byte(
		`{"Service":"s","Address":"127.0.0.1:9","Slots":8,"State":"ready","WarmupLeftMs":60000}`,
	)}}, time.Time{})
	cold := func() int64 { return g.srv.Dump().Backends[0].ColdMs }
	require.Zero(t, cold())
	g.onConfigChange(configSnapshot(0, `{"Version":1,"Services":[{"Name":"s","WarmupS":3,"WarmupPerS":26}]}`))
	require.Positive(t, cold())
	require.EqualValues(t, 1, g.fleet.CountCold(time.Now()))
	g.onConfigChange(configSnapshot(0, `{"Version":2,"Services":[{"Name":"s"}]}`))
	require.Zero(t, cold())
}
