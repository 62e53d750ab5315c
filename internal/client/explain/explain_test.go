package explain_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/check/golden"
	"camphorspoke/internal/client/explain"
)

func TestWriteHistory(t *testing.T) {
	log, err := os.Open("testdata/instance.log")
	require.NoError(t, err)
	defer log.Close()
	var out strings.Builder
	require.NoError(t, explain.WriteHistory(&out, "a1", log))
	golden.Compare(t, "testdata/a1.golden", out.String())
}

func TestUnknownRequest(t *testing.T) {
	var out strings.Builder
	err := explain.WriteHistory(&out, "zz", strings.NewReader("no log\n"))
	require.Equal(t, fault.BadRequest, fault.KindOf(err))
	require.Empty(t, out.String())
}
