package main

import (
	"bytes"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

// Guards against exit code 0 for an RPC error that has details but a code that exitByCode does not list.
func TestUnlistedCodeWithDetailsIsAFailure(t *testing.T) {
	detail, err := connect.NewErrorDetail(&operatorv1.ConflictDetail{Revision: 7})
	require.NoError(t, err)
	rpc := connect.NewError(connect.CodeInternal, nil)
	rpc.AddDetail(detail)
	c := &cli{stderr: &bytes.Buffer{}}
	require.Equal(t, exitFailed, c.report("apply", rpc))
}
