package formation_test

import (
	"testing"

	"camphorspoke/internal/check/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 3000) }
