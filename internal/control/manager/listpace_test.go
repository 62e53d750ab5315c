package manager

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestListPace checks that the list is read often while servers leave or join, and
// less often when each read is billed and nothing has changed for a while.
func TestListPace(t *testing.T) {
	free := listPace{}
	require.Equal(t, listInterval, free.interval(time.Hour))
	billed := listPace{
		billed: true,
	}
	require.Equal(t, quietListInterval, billed.interval(time.Minute))
	billed.changed(time.Minute)
	require.Equal(t, billedListInterval, billed.interval(time.Minute+quietAfter-1))
	require.Equal(t, quietListInterval, billed.interval(time.Minute+quietAfter))
}
