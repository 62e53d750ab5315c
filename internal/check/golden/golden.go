// Package golden compares what a test got with a file kept beside its input.
package golden

// This file defines Compare.

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// update makes Compare write the files anew.
var update = flag.Bool("update", false, "write the golden files anew")

// Compare requires that the file at path holds got.
func Compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o640))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
