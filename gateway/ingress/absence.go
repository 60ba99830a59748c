package ingress

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/exchange"
)

// absentAfter is how long a request without any answer must have taken to show that its server may be elsewhere.
const absentAfter = time.Second

// isForeign reports whether a response is not one of a backend server, which signs its responses and marks them with the
// request's ID. Gateways mark their own responses too, and refuse requests without a key or a route; a backend server
// checks neither. A server that is known to be at its address is believed without.
func (c *call) isForeign(resp *exchange.Response, b *balance.Backend) bool {
	switch {
	case resp.Info.Signed || resp.Info.NotExecuted:
		return false
	case b.IsConfirmed() && !b.IsDisputed():
		return false
	case resp.Info.ID == "" && c.meta.ID != "":
		return true
	}
	switch resp.StatusCode {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return true
	}
	return false
}

// mayBeElsewhere reports whether a response without a signature shows that the server may be at another address that its entries
// name. A server signs its responses, unless it did not execute the request.
func (a *attempt) mayBeElsewhere(resp *exchange.Response) bool {
	return !resp.Info.Signed && !resp.Info.NotExecuted && a.backend.IsDisputed() && !a.backend.IsConfirmed()
}

// recordForeign sets the outcome of an attempt that something other than its server has answered. What it did with the
// request is unknown. It only ejects a server at once whose entries name another address.
func (a *attempt) recordForeign(resp *exchange.Response) {
	a.outcome, a.absence = balance.Failed, balance.OtherAnswers
	if a.backend.IsDisputed() {
		a.outcome = balance.Misdirected
	}
	a.detail = "the answer is not that of the server: status " + strconv.Itoa(resp.StatusCode)
}

// reportAbsence records what an attempt that has ended shows of whether its server is at its address. The server may move.
func (s *Server) reportAbsence(a *attempt) {
	if a.absence == balance.NotAbsent {
		return
	}
	c := s.opts.Fleet.ReportAbsence(a.backend, a.absence, time.Now())
	if c == nil {
		return
	}
	s.opts.Log.Info("backend server "+c.Kind, zap.String("server", c.Server.ID), zap.String("service", c.Server.Service),
		zap.String("address", c.Server.Address), zap.String("former_address", c.Former), zap.String("cause", a.detail))
	s.RefreshGroups()
}
