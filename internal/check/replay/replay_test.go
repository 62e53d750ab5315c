package replay

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestTraces replays each trace in testdata to the outcome beside it.
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
			var tr Trace
			require.NoError(t, tr.Run(path, f, &out))
			if *update {
				require.NoError(t, os.WriteFile(path+".golden", []byte(out.String()), 0o640))
			}
			want, err := os.ReadFile(path + ".golden")
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

func TestBadTrace(t *testing.T) {
	var tr Trace
	err := tr.Run("f", strings.NewReader("\n{\"part\":\"gate\",\"colour\":1}\n"), &strings.Builder{})
	require.ErrorContains(t, err, "f:2:1")
}
