package main

import (
	"bytes"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"lavendermoor.example/api/operatorv1"
)

// Guards against exit code 0 for an error with details whose RPC code has no exit code of its own.
func TestUnlistedCodeWithDetailsIsAFailure(t *testing.T) {
	detail, err := connect.NewErrorDetail(&operatorv1.ConflictDetail{Revision: 7})
	require.NoError(t, err)
	rpc := connect.NewError(connect.CodeInternal, nil)
	rpc.AddDetail(detail)
	c := &cli{stderr: &bytes.Buffer{}}
	require.Equal(t, exitFailed, c.report("apply", rpc))
}
