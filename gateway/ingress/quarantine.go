package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/quarantine"
)

// QuarantinedError reports that the request, or a part of its prompt, crashes servers.
type QuarantinedError struct{ Part quarantine.Part }

func (e *QuarantinedError) Error() string {
	what := "part " + e.Part.ID + " of its prompt"
	if e.Part.IsRequest() {
		what = "the same content"
	}
	return "servers have crashed when they began to answer a request with " + what
}

// contentID returns the ID of the whole request, the same for all its repeats. It is empty before the body has arrived.
func (c *call) contentID() string {
	if len(c.parts) == 0 {
		return ""
	}
	return c.parts[len(c.parts)-1]
}

// checkQuarantine returns the failure of a request that is kept from servers because it or a part of its prompt crashes
// them, nil if it may be sent, also as a probe.
func (c *call) checkQuarantine() *Failure {
	c.server.opts.Quarantine.RecordArrival(c.service, c.parts, c.deadline)
	v := c.server.opts.Quarantine.Check(c.service, c.parts, c.probes, time.Now())
	if v.Passes() || v.CanProbe {
		return nil
	}
	return c.quarantineFailure(v)
}

// claimProbes returns the failure of a request that must not be sent because of a part of its prompt. When the block of
// a part has ended, the request is sent if it can claim the probe. This is done only when a server has been chosen, so
// that no probe is claimed in vain.
func (c *call) claimProbes(ctx context.Context) *Failure {
	opts := &c.server.opts
	for {
		v := opts.Quarantine.Check(c.service, c.parts, c.probes, time.Now())
		if v.Passes() {
			return nil
		}
		if !v.CanProbe || opts.Sharing == nil || !opts.Sharing.ClaimProbe(ctx, v.Part) {
			return c.quarantineFailure(v)
		}
		c.probes = append(c.probes, v.Part)
		opts.Log.Info("probe of a suspected part of prompts", partFields(v.Part, c.meta.ID)...)
	}
}

func (c *call) quarantineFailure(v quarantine.Verdict) *Failure {
	err := &QuarantinedError{Part: v.Part}
	if c.mayHaveExecuted() {
		return &Failure{Status: http.StatusBadGateway, Reason: reasonBackendFailed, Detail: err.Error()}
	}
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonQuarantined, Detail: err.Error(),
		RetryAfter: c.retryAfterSuspension(v.Wait),
	}
}

func partFields(part quarantine.Part, request string) []zap.Field {
	return []zap.Field{
		zap.String("service", part.Service), zap.String("part", part.ID), zap.String("request", request),
	}
}

// watchQuarantine cancels an attempt whose server has not begun to answer when a part of the prompt becomes blocked. It
// does so until unwatch is called.
func (c *call) watchQuarantine(cancel context.CancelCauseFunc) (unwatch func()) {
	return c.server.opts.Quarantine.Watch(c.service, c.parts, func(part quarantine.Part) {
		cancel(&QuarantinedError{Part: part})
	})
}

// answeringAfter is the number of events after which a server counts as one that can answer the prompt.
const answeringAfter = 2

// observeAnswerProgress records that the server is answering the prompt.
func (c *call) observeAnswerProgress(a *attempt) {
	switch a.eventCount {
	case 1:
		a.unwatch()
	case answeringAfter:
		c.recordAnswer(a)
	}
}

// recordAnswer clears the parts of the prompt, which the server has answered.
func (c *call) recordAnswer(a *attempt) {
	opts := &c.server.opts
	for _, part := range opts.Quarantine.RecordAnswer(c.service, c.parts, a.sentAt, time.Now()) {
		opts.Log.Info("suspected part of prompts cleared", partFields(part, c.meta.ID)...)
		if opts.Sharing != nil {
			opts.Sharing.ShareCleared(part)
		}
	}
}

// crashReport is what is known of a server that broke off before it was answering a request.
type crashReport struct {
	server  *Server
	backend *balance.Backend
	service string
	request string
	parts   []string
	crash   quarantine.Crash
}

// examineCrashes examines the attempts that have ended since the last examination.
func (c *call) examineCrashes(ctx context.Context) {
	for ; c.examined < len(c.attempts); c.examined++ {
		c.examineCrash(ctx, &c.attempts[c.examined])
	}
}

// examineCrash makes the request or parts of its prompt suspects if the server of an attempt broke off before it was
// answering and refuses connections. It waits for the result where that decides whether the request may be sent to
// another server.
func (c *call) examineCrash(ctx context.Context, a *attempt) {
	if !a.broken || a.outcome != balance.Failed || a.eventCount >= answeringAfter {
		return
	}
	r := &crashReport{
		server: c.server, backend: a.backend, service: c.service, request: c.meta.ID, parts: c.parts,
		crash: quarantine.Crash{
			Server: a.incarnation.String(), Sent: a.sentAt, AnswerBegun: a.answerBegun && a.eventCount == 0,
			Deadline: c.deadline,
		},
	}
	suspects := c.server.opts.Quarantine.Suspects(r.service, r.parts, r.crash, time.Now())
	partSuspected := slices.ContainsFunc(suspects, func(p quarantine.Part) bool { return !p.IsRequest() })
	switch {
	case len(suspects) == 0:
	case partSuspected || r.crash.AnswerBegun:
		a.suspected = r.examine(ctx) && partSuspected
	default:
		go r.examine(context.WithoutCancel(ctx))
	}
}

// examine reports whether the server refuses connections, and then records and shares the crash.
func (r *crashReport) examine(ctx context.Context) (crashed bool) {
	if !r.backend.Pool.RefusesConnections(ctx) {
		return false
	}
	opts := &r.server.opts
	for _, record := range opts.Quarantine.RecordCrash(r.service, r.parts, r.crash, time.Now()) {
		opts.Log.Warn("part of prompts suspected: a server crashed on a request with it", append(
			partFields(record.Part, r.request), zap.String("server", r.crash.Server),
			zap.Bool("answer_begun", record.AnswerBegun), zap.Bool("answered_before", record.Answered),
			zap.Strings("with", record.With))...)
		if opts.Sharing != nil {
			opts.Sharing.ShareCrash(record)
		}
	}
	return true
}
