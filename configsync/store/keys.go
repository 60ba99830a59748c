// Package store keeps the cluster configuration in the key-value service as a log of changes with periodic snapshots.
package store

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of the configuration in the key-value service.
const (
	logPrefix       = "config/log/"
	snapshotsPrefix = "config/snapshot/"
	headKey         = "config/head"
)

// logKey pads the revision so that keys sort in order of revision.
func logKey(revision int64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// revisionOfLogKey returns the revision in a key under logPrefix.
func revisionOfLogKey(key string) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(key, logPrefix), 10, 64)
}
