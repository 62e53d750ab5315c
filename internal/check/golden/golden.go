// Package golden compares the output of a test with a golden file, which holds
// the expected output. With the flag -update the tests overwrite the golden
// files with their present output.
package golden

// This file defines Compare.

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// update makes Compare overwrite the golden file before it compares.
var update = flag.Bool("update", false, "overwrite the golden files with the present output")

// Compare requires that the content of the golden file at path equals got.
func Compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o640))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
