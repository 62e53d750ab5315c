package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/golden"
)

// TestTraces replays each trace in testdata and compares the outcomes with its
// golden file.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			f, err := os.Open(path)
			require.NoError(t, err)
			defer f.Close()
			var out strings.Builder
			var replayer Replayer
			require.NoError(t, replayer.Run(path, f, &out))
			golden.Compare(t, path+".golden", out.String())
		})
	}
}

func TestBadTrace(t *testing.T) {
	var replayer Replayer
	err := replayer.Run("f", strings.NewReader("\n{\"part\":\"gate\",\"colour\":1}\n"), &strings.Builder{})
	require.ErrorContains(t, err, "f:2:1")
}
