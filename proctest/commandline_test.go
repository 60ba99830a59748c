package proctest

import (
	"context"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against programs without a version or usage text: lavendermoor-load, lavendermoor-demo and
// lavendermoor-standin once rejected -version.
func TestProgramsPrintVersionAndUsage(t *testing.T) {
	t.Parallel()
	for _, program := range Programs {
		for arg, want := range map[string]string{"--version": program + " ", "--help": "version"} {
			out, err := exec.CommandContext(context.Background(), Binary(t, program), arg).CombinedOutput()
			require.NoError(t, err, "%s %s: %s", program, arg, out)
			require.Contains(t, string(out), want, "%s %s", program, arg)
		}
	}
}
