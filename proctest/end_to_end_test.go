package proctest

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/standin/engineserver"
)

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBinaries()
	os.Exit(code)
}

func deploySmall(t *testing.T, engineArgs ...string) *Deployment {
	t.Helper()
	return Deploy(t, DeploymentOptions{
		Entries: 2, Models: 3, Services: 3, Slots: 8, InstanceListLag: 100 * time.Millisecond, DrainTimeout: 20 * time.Second,
		EngineArgs: append([]string{"-token-time", "5ms", "-slots", "8"}, engineArgs...),
	})
}

func expectedText(content string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engineserver.Token(engineserver.ChatPrompt(content), i))
	}
	return text.String()
}

// Guards against requests that fail or return wrong data anywhere on the path between a caller and a backend server.
func TestEndToEnd(t *testing.T) {
	d := deploySmall(t)
	for _, e := range d.Entries {
		s := StreamChat(t, e.URL, "a note", 10, nil)
		require.True(t, s.Done, "%+v", s)
		require.Equal(t, expectedText("a note", 10), s.Text)
	}
	status, _, body := Do(t, http.MethodPost, d.Entries[0].URL+"/v1/services/booking/bookings", nil,
		map[string]string{"shed": "north", "slot": "09:00"})
	require.Equal(t, http.StatusCreated, status, "%s", body)
	require.Len(t, d.Runs(), 1)
	status, _, body = Do(t, http.MethodGet, d.Entries[1].URL+"/v1/services/booking/bookings/b1", nil, nil)
	require.Equal(t, http.StatusOK, status, "%s", body)
	require.Contains(t, string(body), "north")
}

// Guards against failures of an unstreamed completion or of the list of models, which standard clients request.
func TestUnstreamedCompletionAndModelList(t *testing.T) {
	d := deploySmall(t)
	status, _, body := Do(t, http.MethodPost, d.Entries[0].URL+"/v1/chat/completions", nil, map[string]any{
		"model": ModelName, "max_tokens": 5, "messages": []map[string]string{{"role": "user", "content": "x"}},
	})
	require.Equal(t, http.StatusOK, status, "%s", body)
	require.Contains(t, string(body), strings.TrimSpace(expectedText("x", 5)))
	status, _, body = Do(t, http.MethodGet, d.Entries[0].URL+"/v1/models", nil, nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, string(body), `"id":"drafter"`)
}

// Guards against invalid requests that are executed or get an untyped error or a wrong status.
func TestInvalidInputReturnsTypedErrors(t *testing.T) {
	d := deploySmall(t)
	base := d.Entries[0].URL
	chatURL, bookingsURL := base+"/v1/chat/completions", base+"/v1/services/booking/bookings"
	validBody := map[string]any{"model": ModelName, "messages": []any{}}
	for name, c := range map[string]struct {
		method, url string
		header      http.Header
		body        any
		want        callerapi.ErrorType
	}{
		"malformed JSON":  {"POST", chatURL, nil, []byte("{"), callerapi.InvalidRequest},
		"unknown model":   {"POST", chatURL, nil, map[string]any{"model": "nope"}, callerapi.UnknownModel},
		"unknown adapter": {"POST", chatURL, nil, map[string]any{"model": ModelName + ":nope"}, callerapi.UnknownModel},
		"missing key":     {"POST", chatURL, http.Header{"Authorization": {""}}, validBody, callerapi.Unauthorized},
		"wrong key":       {"POST", chatURL, http.Header{"Authorization": {"Bearer nope"}}, validBody, callerapi.Unauthorized},
		"two keys": {
			"POST", chatURL, http.Header{"Authorization": {"Bearer " + CallerKey, "Bearer nope"}}, validBody, callerapi.Unauthorized,
		},
		"negative tokens": {"POST", chatURL, nil, map[string]any{"model": ModelName, "max_tokens": -1}, callerapi.InvalidRequest},
		"past deadline":   {"POST", bookingsURL, http.Header{callerapi.HeaderDeadline: {"0"}}, validBody, callerapi.DeadlineExceeded},
		"bad deadline":    {"POST", bookingsURL, http.Header{callerapi.HeaderDeadline: {"soon"}}, validBody, callerapi.InvalidRequest},
		"method":          {"GET", chatURL, nil, nil, callerapi.MethodNotAllowed},
		"path":            {"GET", base + "/v2/x", nil, nil, callerapi.NotFound},
		"unknown service": {"GET", base + "/v1/services/nope/x", nil, nil, callerapi.UnknownService},
		"large header":    {"POST", bookingsURL, http.Header{"X-Large": {strings.Repeat("x", 100<<10)}}, validBody, callerapi.HeaderTooLarge},
		"large body":      {"POST", bookingsURL, nil, make([]byte, 5<<20), callerapi.BodyTooLarge},
	} {
		status, header, body := Do(t, c.method, c.url, c.header, c.body)
		e := DecodeError(body)
		require.NotNil(t, e, "%s: %d %s", name, status, body)
		require.Equal(t, c.want, e.Type, name)
		require.Equal(t, c.want.Status(), status, name)
		require.Equal(t, callerapi.ExecutedNo, e.Executed, name)
		require.NotEmpty(t, e.RequestID, name)
		require.Equal(t, e.RequestID, header.Get(callerapi.HeaderRequestID), name)
	}
	require.Empty(t, d.Runs())
}
