package parse

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/check/golden"
	"camphorspoke/internal/rules/ruleset"
)

// TestGolden parses each file in testdata and compares the reported problems with the
// golden file beside it.
func TestGolden(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.rules")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			b, err := os.ReadFile(path)
			require.NoError(t, err)
			got := "ok\n"
			if _, err := Rules(filepath.Base(path), b); err != nil {
				got = err.Error() + "\n"
			}
			golden.Compare(t, path+".golden", got)
		})
	}
}

func TestValues(t *testing.T) {
	rules, err := Rules("f", []byte("nonidempotent p call=book # a: b\nservice p type=plain bound=2 move=4MiB # a: b\nservice e type=engine fence=checked cold-time=3s cold-rate=14.5 # who: why\naccount x share=3 limit=7 # a: b\nkind k class=batch # a: b\n"))
	require.NoError(t, err)
	require.True(t, rules.Services["p"].NonIdempotent["book"])
	require.EqualValues(t, 4<<20, rules.Services["p"].MaxMoveBytes)
	require.Equal(t, ruleset.DefaultLoadBound, rules.Services["e"].LoadBound)
	require.True(t, rules.Services["e"].ChecksFencing)
	require.Equal(t, 3*time.Second, rules.Services["e"].ColdTime)
	require.InDelta(t, 14.5, rules.Services["e"].ColdRate, 0)
	require.Equal(t, 3, rules.Accounts["x"].Share)
	require.Equal(t, ruleset.Batch, rules.Kinds["k"])
	require.Equal(t, "who", rules.Authors[3])
}

// TestHedge: a service without the word hedge= has the limit of the deployment, one with
// hedge=0% has none.
func TestHedge(t *testing.T) {
	for word, want := range map[string]float64{
		"":           0.03,
		"hedge=5%":   0.05,
		"hedge=0%":   0,
		"hedge=100%": 1,
	} {
		rules, err := Rules("f", []byte("service p type=plain "+word+" # a: b\n"))
		require.NoError(t, err)
		require.InDelta(t, want, rules.Services["p"].HedgeShare(3), 1e-9, word)
	}
	for _, word := range []string{"hedge=5", "hedge=-1%", "hedge=101%", "hedge="} {
		_, err := Rules("f", []byte("service p type=plain "+word+" # a: b\n"))
		require.Error(t, err, word)
	}
}

// FuzzRules checks that any input either parses, with an author for each rule, or is
// rejected with positions from line 1, column 1.
func FuzzRules(f *testing.F) {
	f.Add([]byte("service s type=engine bound=1.5 # who: why\n"))
	f.Add([]byte("account a share=1 limit=2 # who: why\r\n\n# note\nkind k class=urgent # a: b"))
	f.Fuzz(func(t *testing.T, in []byte) {
		parsed, err := Rules("f", in)
		if err != nil {
			require.NotEmpty(t, err.(*Error).Problems)
			for _, p := range err.(*Error).Problems {
				require.Positive(t, p.line)
				require.Positive(t, p.col)
			}
			return
		}
		require.GreaterOrEqual(t, len(parsed.Authors), len(parsed.Services)+len(parsed.Accounts)+len(parsed.Kinds))
	})
}
