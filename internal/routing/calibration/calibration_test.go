package calibration_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/routing/calibration"
)

// TestTrustFollowsWhatIsObserved: figures that what is observed agrees with are used, others are
// not, and those that are right again are used again.
func TestTrustFollowsWhatIsObserved(t *testing.T) {
	var c calibration.Calibration
	require.Equal(t, 1.0, c.Trust())
	rng := rand.New(rand.NewPCG(1, 1))
	slow := func() float64 {
		if rng.IntN(5) == 0 {
			return math.Log(2.5)
		}
		return 0
	}
	observe := func(n int, late bool) {
		for range n {
			stated := slow()
			actual := stated
			if late {
				actual = slow()
			}
			c.Observe(stated, 3+actual+.5*rng.NormFloat64())
		}
	}
	observe(3000, false)
	require.Greater(t, c.Trust(), .75)
	observe(3000, true)
	require.Less(t, c.Trust(), .25)
	observe(3000, false)
	require.Greater(t, c.Trust(), .75)
}

// TestUsualSpeedKeepsTheTrust: servers that all state the usual time show nothing about their
// figures, and the sums over them end near zero.
func TestUsualSpeedKeepsTheTrust(t *testing.T) {
	var c calibration.Calibration
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1_000_000 {
		c.Observe(0, rng.NormFloat64())
	}
	require.Equal(t, 1.0, c.Trust())
}
