package entry

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gorilla/mux"

	"lavendermoor.example/api/callerapi"
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/config/cluster"
)

// Headers that are set on answers of plain services.
const (
	headerReplayed  = "Idempotent-Replayed"
	headerTruncated = "Lavendermoor-Body-Not-Kept"
)

// unforwardedHeaders concern one connection only and are not passed on; RFC 9110, section 7.6.1. The headers that the
// system itself reads are not passed on either.
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
		return "", callerapi.NotRun(callerapi.UnknownService, "service %q does not exist", name)
	}
	return name, nil
}

// call runs a call of a plain service.
func (s *Server) call(x *exchange) *callerapi.Error {
	service, e := x.serviceName()
	if e != nil {
		return e
	}
	path, err := url.PathUnescape(mux.Vars(x.r)["path"])
	if err != nil {
		return callerapi.NotRun(callerapi.InvalidRequest, "path is not valid: %v", err)
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
	if e != nil {
		return e
	}
	x.writeCallResult(result)
	return nil
}

// writeCallResult sends the answer of a plain service.
func (x *exchange) writeCallResult(r *peerapi.CallResult) {
	h := x.w.Header()
	from := forwardedHeaders(r.Header)
	from.Del(headerReplayed) // Only this system knows whether the answer is a replay or was truncated.
	from.Del(headerTruncated)
	for name, values := range from {
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
	_, _ = x.w.Write(r.Body) // A failed write means that the caller has gone.
}

// token asks a side process for a token.
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
