package ingress

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavendermoor.example/gateway/balance"
	"lavendermoor.example/gateway/quarantine"
)

// QuarantinedError reports that a part of the request's prompt crashes servers.
type QuarantinedError struct{ Part string }

func (e *QuarantinedError) Error() string {
	return "part " + e.Part + " of the prompt has crashed the servers that began to answer it"
}

// checkQuarantine returns the failure of a request that is kept from servers because of a part of its prompt, nil if it
// may be sent, also as a probe.
func (c *call) checkQuarantine() *Failure {
	v := c.server.opts.Quarantine.Check(c.service, c.meta.SharedParts, c.probes, time.Now())
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
		v := opts.Quarantine.Check(c.service, c.meta.SharedParts, c.probes, time.Now())
		if v.Passes() {
			return nil
		}
		if !v.CanProbe || opts.Sharing == nil || !opts.Sharing.ClaimProbe(ctx, v.Part) {
			return c.quarantineFailure(v)
		}
		c.probes = append(c.probes, v.Part)
		opts.Log.Info("probe of a suspected part of prompts", c.partFields(v.Part)...)
	}
}

func (c *call) quarantineFailure(v quarantine.Verdict) *Failure {
	err := &QuarantinedError{Part: v.Part.ID}
	if c.mayHaveExecuted() {
		return &Failure{Status: http.StatusBadGateway, Reason: reasonBackendFailed, Detail: err.Error()}
	}
	return &Failure{
		Status: http.StatusServiceUnavailable, Reason: reasonQuarantined, Detail: err.Error(),
		RetryAfter: c.retryAfterSuspension(v.Wait),
	}
}

func (c *call) partFields(part quarantine.Part) []zap.Field {
	return []zap.Field{
		zap.String("service", part.Service), zap.String("part", part.ID), zap.String("request", c.meta.ID),
	}
}

// watchQuarantine cancels an attempt whose server has not begun to answer when a part of the prompt becomes blocked. It
// does so until unwatch is called.
func (c *call) watchQuarantine(cancel context.CancelCauseFunc) (unwatch func()) {
	return c.server.opts.Quarantine.Watch(c.service, c.meta.SharedParts, func(part quarantine.Part) {
		cancel(&QuarantinedError{Part: part.ID})
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
	if len(c.meta.SharedParts) == 0 {
		return
	}
	for _, part := range opts.Quarantine.RecordAnswer(c.service, c.meta.SharedParts, a.sentAt, time.Now()) {
		opts.Log.Info("suspected part of prompts cleared", c.partFields(part)...)
		if opts.Sharing != nil {
			opts.Sharing.ShareCleared(part)
		}
	}
}

// examineCrash makes parts of the prompt suspects if the server of the last attempt broke off before it was answering
// and refuses connections.
func (c *call) examineCrash(ctx context.Context) {
	a := &c.attempts[len(c.attempts)-1]
	if !a.broken || a.outcome != balance.Failed || a.eventCount >= answeringAfter || len(c.meta.SharedParts) == 0 {
		return
	}
	opts := &c.server.opts
	crash := quarantine.Crash{
		Server: a.incarnation.String(), Sent: a.sentAt, AnswerBegun: a.answerBegun && a.eventCount == 0,
	}
	if len(opts.Quarantine.Suspects(c.service, c.meta.SharedParts, crash, time.Now())) == 0 {
		return
	}
	if !a.backend.Pool.RefusesConnections(ctx) {
		return
	}
	a.suspected = true
	for _, r := range opts.Quarantine.RecordCrash(c.service, c.meta.SharedParts, crash, time.Now()) {
		opts.Log.Warn("part of prompts suspected: a server crashed on a request with it", append(c.partFields(r.Part),
			zap.String("server", a.server), zap.Bool("answer_begun", r.AnswerBegun), zap.Bool("answered_before", r.Answered),
			zap.Strings("with", r.With))...)
		if opts.Sharing != nil {
			opts.Sharing.ShareCrash(r)
		}
	}
}
