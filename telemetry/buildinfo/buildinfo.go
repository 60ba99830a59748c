// Package buildinfo tells which code the running program was built from.
package buildinfo

import (
	"fmt"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	collector "github.com/prometheus/client_golang/prometheus/collectors/version"
	"github.com/prometheus/common/version"
	"go.uber.org/zap"
)

// Unknown is the value of a field that the program file does not record.
const Unknown = "unknown"

// unreleased is the version of a program for which the linker has set none. A release sets
// github.com/prometheus/common/version.Version with -X.
const unreleased = "development"

// shortCommit is the number of characters of an abbreviated commit.
const shortCommit = 12

// Info describes the build of a program. It is immutable.
type Info struct {
	// Version is the release, "development" outside of releases.
	Version string `json:"version"`
	// Revision is the commit of the source, followed by "-modified" if files had been changed since. The Go tool records it
	// for a build in a checkout, unless -buildvcs=false is set.
	Revision string `json:"revision"`
	// CommitTime is the time of the commit in RFC 3339.
	CommitTime string `json:"commit_time"`
	// BuildID is the content hash at the end of what "go tool buildid" prints for the program file. Programs of different
	// code have different ones. Builds of one commit have the same one if folder, Go version and flags are the same.
	BuildID string `json:"build_id"`
	// GoVersion is the version of the Go tool chain.
	GoVersion string `json:"go_version"`
}

// Current returns the build of the running program. It is safe for concurrent use.
var Current = sync.OnceValue(read)

func init() {
	if version.Version == "" {
		version.Version = unreleased
	}
}

func read() Info {
	info := Info{
		Version: version.Version, Revision: version.GetRevision(), CommitTime: Unknown, BuildID: readBuildID(executable),
		GoVersion: version.GoVersion,
	}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	for _, s := range build.Settings {
		if s.Key == "vcs.time" {
			info.CommitTime = s.Value
		}
	}
	return info
}

// String returns all fields as key=value pairs on one line, after the version.
func (i Info) String() string {
	return fmt.Sprintf("%s revision=%s commit_time=%s build_id=%s go=%s", i.Version, i.Revision, i.CommitTime, i.BuildID, i.GoVersion)
}

// Short returns the revision with an abbreviated commit, or the build ID if the revision is unknown.
func (i Info) Short() string {
	if i.Revision == Unknown {
		return "build " + i.BuildID
	}
	commit, suffix, _ := strings.Cut(i.Revision, "-")
	short := commit[:min(len(commit), shortCommit)]
	if suffix == "" {
		return short
	}
	return short + "-" + suffix
}

// Fields returns the fields for a log line.
func (i Info) Fields() []zap.Field {
	return []zap.Field{
		zap.String("version", i.Version), zap.String("revision", i.Revision), zap.String("commit_time", i.CommitTime),
		zap.String("build_id", i.BuildID), zap.String("go", i.GoVersion),
	}
}

// Register adds the metric lavendermoor_build_info, whose value is 1 and whose labels describe the build.
func Register(r prometheus.Registerer) error {
	labels := prometheus.Labels{"build_id": Current().BuildID}
	return prometheus.WrapRegistererWith(labels, r).Register(collector.NewCollector("lavendermoor"))
}
