package entry

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gorilla/mux"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/clients/httpstatus"
	"lavendermoor.example/config/cluster"
)

// Headers set on responses of plain services.
const (
	// headerReplayed marks the recorded outcome of an earlier run.
	headerReplayed = "Idempotent-Replayed"
	// headerTruncated marks an outcome whose body was too large to be recorded.
	headerTruncated = "Lavendermoor-Body-Not-Kept"
)

// unforwardedHeaders are not forwarded: the hop-by-hop headers of RFC 9110, section 7.6.1, and the headers that the
// entry itself consumes or sets.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", callerapi.HeaderToken, callerapi.HeaderDeadline, "Content-Length",
}

func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range out.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	return out
}

func (x *exchange) serviceName() (string, *callerapi.Error) {
	name := mux.Vars(x.r)["service"]
	if x.state.Service(name) == nil {
		return "", callerapi.NotExecuted(callerapi.UnknownService, "service %q does not exist", name)
	}
	return name, nil
}

// call handles a call of a plain service.
func (s *Server) call(x *exchange) *callerapi.Error {
	service, e := x.serviceName()
	if e != nil {
		return e
	}
	path, err := url.PathUnescape(mux.Vars(x.r)["path"])
	if err != nil {
		return callerapi.NotExecuted(callerapi.InvalidRequest, "path is not valid: %v", err)
	}
	body, e := x.readBody()
	if e != nil {
		return e
	}
	work, e := x.classify(cluster.Call{Service: service, Method: x.r.Method, Path: path})
	if e != nil {
		return e
	}
	req := &peerapi.CallRequest{
		Work: work, Service: service, Method: x.r.Method, Path: path, Query: x.r.URL.RawQuery,
		Header: forwardedHeaders(x.r.Header), Body: body,
		Token: x.r.Header.Get(callerapi.HeaderToken), Key: x.r.Header.Get(callerapi.HeaderIdempotencyKey),
	}
	ctx, cancel := x.withDeadline(&work)
	defer cancel()
	result, e := s.opts.Upstream.Call(ctx, x.state, req)
	if e == nil {
		e = checkResult(result)
	}
	if e != nil {
		return e
	}
	x.writeCallResult(result)
	return nil
}

// checkResult returns an error for a result with a status that HTTP does not have. A sidecar with an earlier version of this
// program may have recorded one.
func checkResult(r *peerapi.CallResult) *callerapi.Error {
	if err := httpstatus.CheckFinal(r.Status); err != nil {
		return callerapi.MaybeExecuted(callerapi.BackendFailed, "%v", err)
	}
	return nil
}

// writeCallResult writes the response of a plain service to the caller.
func (x *exchange) writeCallResult(r *peerapi.CallResult) {
	h := x.w.Header()
	forwarded := forwardedHeaders(r.Header)
	forwarded.Del(headerReplayed) // Only the sidecar, not the backend server, reports replayed and truncated responses.
	forwarded.Del(headerTruncated)
	for name, values := range forwarded {
		h[name] = values
	}
	h.Set(callerapi.HeaderRequestID, x.id)
	if r.Replayed {
		h.Set(headerReplayed, "true")
	}
	if r.Truncated {
		h.Set(headerTruncated, "true")
	}
	x.w.WriteHeader(r.Status)
	_, _ = x.w.Write(r.Body) // A failed write means that the caller has disconnected.
}

// token handles a request for a call token, which a sidecar issues.
func (s *Server) token(x *exchange) *callerapi.Error {
	service, e := x.serviceName()
	if e != nil {
		return e
	}
	work, e := x.classify(cluster.Call{Service: service, Method: http.MethodPost})
	if e != nil {
		return e
	}
	ctx, cancel := x.withDeadline(&work)
	defer cancel()
	out, e := s.opts.Upstream.Token(ctx, x.state, &peerapi.TokenRequest{Customer: x.customer.GetName(), Service: service})
	if e != nil {
		return e
	}
	x.writeJSON(out)
	return nil
}
