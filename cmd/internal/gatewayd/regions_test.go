package gatewayd

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/config/settings"
	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/catalog"
	"lavendermoor.example/telemetry"
)

// Guards against a template that is invalid without the platform's table of zones, and against a table that does not
// reach the fleet, at the start or with a change of the settings.
func TestRegionsComeFromTheTemplate(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/gateway.json.tmpl")
	require.NoError(t, err)
	parse := func(zones string) Settings {
		text := strings.ReplaceAll(string(template), "{{Zones|json}}", zones)
		text = regexp.MustCompile(`\{\{[\w.]*\|json\}\}`).ReplaceAllStringFunc(text, func(f string) string {
			switch {
			case strings.Contains(f, "Seeds"):
				return "[]"
			case strings.Contains(f, "Listen"), strings.Contains(f, "Provider"):
				return `"127.0.0.1:1"`
			case strings.Contains(f, "."):
				return "1000"
			}
			return `"z1"`
		})
		s := DefaultSettings()
		require.NoError(t, settings.Parse("gateway.json", []byte(text), &s))
		return s
	}
	require.Empty(t, parse("null").Regions)
	g, err := newGateway(parse(`{"z1": "eu"}`), telemetry.NewBoundedWriter(&bytes.Buffer{}))
	require.NoError(t, err)
	servers := []catalog.Server{{ID: "a", Service: "s", Address: "127.0.0.1:1", Domain: "z1", Slots: 1}}
	g.fleet.Update(servers, time.Time{}, time.Now())
	require.True(t, g.fleet.HasServerIn("s", balance.Regions{"eu"}))
	g.reload(parse("null"))
	require.False(t, g.fleet.HasServerIn("s", balance.Regions{"eu"}))
	require.True(t, g.fleet.HasServerIn("s", nil))
}
