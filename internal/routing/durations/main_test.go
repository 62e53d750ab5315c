package durations_test

import (
	"testing"

	"camphorspoke/internal/check/seeded"
)

// modelChecks is the number of planned stops that are replayed.
const modelChecks = 5000

func TestMain(m *testing.M) { seeded.Main(m, modelChecks) }
