package kv

import "encoding/json"

// The types below are the messages of the JSON gateway of etcd v3. Keys and values are encoded in base64, and 64-bit
// integers as decimal strings.

// WireKV is one key in a response.
type WireKV struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	// CreateRevision is the revision of the write that created the key.
	CreateRevision int64 `json:"create_revision,string,omitempty"`
	Lease          int64 `json:"lease,string,omitempty"`
}

// WireRange is the body of /v3/kv/range and of a range request in a transaction.
type WireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// WireRangeResponse is the response to a WireRange.
type WireRangeResponse struct {
	KVs []WireKV `json:"kvs,omitempty"`
}

// WireCompare is the condition of a transaction. Only target MOD and result EQUAL are used.
type WireCompare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// WirePut writes one key.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// WireDelete deletes one key.
type WireDelete struct {
	Key []byte `json:"key"`
}

// WireOp is one operation of a transaction.
type WireOp struct {
	RequestPut         *WirePut    `json:"request_put,omitempty"`
	RequestDeleteRange *WireDelete `json:"request_delete_range,omitempty"`
}

// WireTxn is the body of /v3/kv/txn.
type WireTxn struct {
	Compare []WireCompare `json:"compare,omitempty"`
	Success []WireOp      `json:"success,omitempty"`
}

// WireHeader is part of every response.
type WireHeader struct {
	Revision int64 `json:"revision,string"`
}

// WireTxnResponse is the response to a WireTxn.
type WireTxnResponse struct {
	Header    WireHeader `json:"header"`
	Succeeded bool       `json:"succeeded,omitempty"`
}

// WireWatch is the body of /v3/watch.
type WireWatch struct {
	CreateRequest WireWatchCreate `json:"create_request"`
}

// WireWatchCreate describes a watch.
type WireWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WireWatchLine is one line of the response to a WireWatch.
type WireWatchLine struct {
	Result *WireWatchResult `json:"result,omitempty"`
	Error  json.RawMessage  `json:"error,omitempty"`
}

// WireWatchResult carries events. Created is set on the first line, Canceled on the last one. CompactRevision is set if
// the start revision of the watch is compacted; it is the oldest revision that the service keeps.
type WireWatchResult struct {
	Header          WireHeader  `json:"header"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision int64       `json:"compact_revision,string,omitempty"`
	CancelReason    string      `json:"cancel_reason,omitempty"`
	Events          []WireEvent `json:"events,omitempty"`
}

// WireEvent is a change of one key; Type is "DELETE" or empty for a put.
type WireEvent struct {
	Type string `json:"type,omitempty"`
	KV   WireKV `json:"kv"`
}

// WireLease is the request and response body of the lease calls. TTL is in seconds.
type WireLease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// WireLeaseKeepAlive is the response of /v3/lease/keepalive.
type WireLeaseKeepAlive struct {
	Result WireLease `json:"result"`
}

// WireError is the body of a response with an error status. Code is a gRPC code.
type WireError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Paths of the JSON gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
)

// PrefixEnd returns the exclusive end of the range of all keys with a prefix. The zero byte, which etcd treats as "no
// end", is returned for an empty prefix and for one of 0xff bytes only.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
