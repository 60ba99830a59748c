package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"

	"connectrpc.com/connect"

	"lavendermoor.example/api/bearer"
	"lavendermoor.example/api/operatorv1"
	"lavendermoor.example/api/operatorv1/operatorv1connect"
)

// bootstrapName is the author that is recorded for changes made with the bootstrap key.
const bootstrapName = "bootstrap"

// operatorIdentity is the authenticated operator of a call.
type operatorIdentity struct {
	name  string
	admin bool
}

type identityKey struct{}

func identityFrom(ctx context.Context) operatorIdentity {
	identity, _ := ctx.Value(identityKey{}).(operatorIdentity)
	return identity
}

// adminProcedures are the procedures that require the role admin.
var adminProcedures = map[string]bool{
	operatorv1connect.OperatorServiceApplyProcedure:    true,
	operatorv1connect.OperatorServiceRollbackProcedure: true,
	operatorv1connect.OperatorServiceDrainProcedure:    true,
}

// authenticator is the interceptor that authenticates calls by their bearer key and checks the operator's role.
type authenticator struct{ service *Service }

// WrapUnary implements connect.Interceptor.
func (a *authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, err := a.authenticate(ctx, req.Header(), req.Spec().Procedure)
		if err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *authenticator) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		ctx, err := a.authenticate(ctx, conn.RequestHeader(), conn.Spec().Procedure)
		if err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (a *authenticator) authenticate(ctx context.Context, h http.Header, procedure string) (context.Context, error) {
	key, ok := bearer.Key(h)
	if !ok {
		return ctx, rpcError(&UnknownKeyError{})
	}
	identity, ok, err := a.service.identify(ctx, key)
	if err != nil {
		return ctx, rpcError(err)
	}
	if !ok {
		return ctx, rpcError(&UnknownKeyError{})
	}
	if adminProcedures[procedure] && !identity.admin {
		return ctx, rpcError(&MissingRoleError{Operator: identity.name})
	}
	return context.WithValue(ctx, identityKey{}, identity), nil
}

// identify returns the operator of a key. The bootstrap key is accepted only if the key-value service confirms that no
// operator is configured, because this process may not have received the first configuration yet.
func (s *Service) identify(ctx context.Context, key string) (operatorIdentity, bool, error) {
	st := s.state()
	if o, ok := st.OperatorByKey(key); ok {
		return operatorIdentity{name: o.GetName(), admin: o.GetRole() == operatorv1.Role_ROLE_ADMIN}, true, nil
	}
	if st.HasOperators() || !s.isBootstrapKey(key) {
		return operatorIdentity{}, false, nil
	}
	latest, err := s.latest(ctx)
	if err != nil {
		return operatorIdentity{}, false, err
	}
	return operatorIdentity{name: bootstrapName, admin: true}, !latest.HasOperators(), nil
}

func (s *Service) isBootstrapKey(key string) bool {
	sum := sha256.Sum256([]byte(key))
	got := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(got), []byte(s.opts.BootstrapKeySHA256)) == 1
}
