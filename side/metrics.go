package side

import (
	"lavendermoor.example/api/peerapi"
	"lavendermoor.example/telemetry"
)

// Instruments returns the metrics of the server.
func (s *Server) Instruments() []telemetry.Instrument {
	load := func(field func(*peerapi.LoadReport) int) func() int64 {
		return func() int64 {
			l := s.Load()
			return int64(field(&l))
		}
	}
	return []telemetry.Instrument{
		{
			Name: "lavendermoor.side.running", Unit: "{request}", Description: "Requests that run at the backend server.",
			Value: load(func(l *peerapi.LoadReport) int { return l.Running }),
		},
		{
			Name: "lavendermoor.side.waiting", Unit: "{request}", Description: "Requests that wait for a slot.",
			Value: load(func(l *peerapi.LoadReport) int { return l.Waiting }),
		},
		{
			Name: "lavendermoor.side.limit", Unit: "{request}", Description: "Learned concurrency limit.",
			Value: load(func(l *peerapi.LoadReport) int { return l.Limit }),
		},
		{
			Name: "lavendermoor.side.served", Unit: "{request}", Counter: true, Value: s.served.Load,
			Description: "Requests that were admitted and sent to the backend server.",
		},
		{
			Name: "lavendermoor.side.refused", Unit: "{request}", Counter: true, Value: s.refused.Load,
			Description: "Requests that were refused before they ran.",
		},
	}
}
