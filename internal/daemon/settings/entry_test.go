package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/daemon/settings"
)

// entryFile is a settings file as the deployment template renders it for an
// instance with a data directory.
const entryFile = `# Settings of camphord, a flag and its value a line.
instance front-terrace-1
failure-domain terrace
ip 10.1.0.19
front 10.1.0.19:8227
ready 10.1.0.19:8220
directory 10.1.0.19:8224
operator 10.1.0.19:8229
metrics 10.1.0.19:9464
ports 7340,7355
seeds 10.1.0.19:8229,10.2.0.36:8229,10.3.0.3:8229
first-start true
list 10.200.0.61:8223
memory-mb 284
cores 1
losses-borne 1
grace-s 8
revoke-ms 5000
bound 2
retry-ratio 0.2
retry-slack 60
retry-window-s 10
data-dir /data/my-front
`

func parse(t *testing.T, text string) (*settings.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return settings.Parse([]string{"-config", path})
}

func TestEntry(t *testing.T) {
	s, err := parse(t, entryFile)
	require.NoError(t, err)
	require.Equal(t, "10.1.0.19:7340", s.ControlListen)
	require.Equal(t, "10.1.0.19:7341", s.PeerListen)
	require.Equal(t, "10.1.0.19:7342", s.Listen)
	require.Equal(t, []string{"10.1.0.19:7340", "10.2.0.36:7340", "10.3.0.3:7340"}, s.Entry.Seeds)
	require.Equal(t, []string{"10.1.0.19:7341", "10.2.0.36:7341", "10.3.0.3:7341"}, s.Entry.PeerSeeds)
	require.True(t, s.Entry.FirstStart)
	require.Equal(t, 3, s.Entry.Voters)
	require.Equal(t, 8*time.Second, s.Entry.Grace)
	require.InDelta(t, 1.5, s.Entry.ColdOverage, 0)
	require.InDelta(t, 5, s.Entry.ColdSlack, 0)
	require.Equal(t, 5*time.Second, s.Entry.RevokeAfter)
	require.Zero(t, s.Entry.FileDescriptors)
	s, err = parse(t, entryFile+"file-descriptors 2870\n")
	require.NoError(t, err)
	require.Equal(t, 2870, s.Entry.FileDescriptors)
}

// TestLimitsOfTheEnvironment guards against a name in the deploy file that the daemon does
// not read, and against a deployment without the limits, whose values are empty and which
// would keep every instance from starting.
func TestLimitsOfTheEnvironment(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "system.toml"))
	require.NoError(t, err)
	for name, value := range map[string]string{"CAMPHORD_COLD_OVERAGE": "1.75", "CAMPHORD_COLD_SLACK": "7", "CAMPHORD_FILE_DESCRIPTORS": "2870"} {
		require.Contains(t, string(deploy), name+" = ")
		t.Setenv(name, value)
	}
	s, err := parse(t, entryFile)
	require.NoError(t, err)
	require.InDelta(t, 1.75, s.Entry.ColdOverage, 0)
	require.InDelta(t, 7, s.Entry.ColdSlack, 0)
	require.Equal(t, 2870, s.Entry.FileDescriptors)
	t.Setenv("CAMPHORD_COLD_OVERAGE", "")
	t.Setenv("CAMPHORD_COLD_SLACK", "")
	t.Setenv("CAMPHORD_FILE_DESCRIPTORS", "")
	s, err = parse(t, entryFile)
	require.NoError(t, err)
	require.InDelta(t, 1.5, s.Entry.ColdOverage, 0)
	require.InDelta(t, 5, s.Entry.ColdSlack, 0)
	require.Zero(t, s.Entry.FileDescriptors)
}

func TestEntryWithoutDataDir(t *testing.T) {
	s, err := parse(t, strings.Replace(entryFile, "data-dir /data/my-front\n", "\n", 1))
	require.NoError(t, err)
	require.Empty(t, s.ControlListen)
}

// TestEntryInvalid checks that the error for an invalid setting names the flag and
// its value, or the values accepted.
func TestEntryInvalid(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"front 10.1.0.19:8227", "front terrace:8227", "-front=terrace:8227"},
		{"ready 10.1.0.19:8220", "ready 10.1.0.19", "-ready="},
		{"list 10.200.0.61:8223", "list ", "-list="},
		{"ip 10.1.0.19", "ip x", "-ip=x"},
		{"ports 7340,7355", "ports 7340", "-ports=7340"},
		{"ports 7340,7355", "ports 7340,7341", "3 ports or more"},
		{"ports 7340,7355", "ports 7355,7340", "-ports="},
		{"seeds 10.1.0.19:8229", "seeds here", "-seeds="},
		{"metrics 10.1.0.19:9464", "metrics 9464", "-metrics=9464"},
		{"grace-s 8", "grace-s 0.1", "-grace-s="},
		{"revoke-ms 5000", "revoke-ms 10", "-revoke-ms="},
		{"bound 2", "bound 0.5", "-bound=0.5"},
		{"retry-ratio 0.2", "retry-ratio -1", "-retry-ratio=-1"},
		{"cores 1", "cold-overage 0.5", "-cold-overage=0.5"},
		{"cores 1", "cold-slack NaN", "-cold-slack=NaN"},
		{"retry-slack 60", "hedge-percent 101", "-hedge-percent=101"},
		{"retry-slack 60", "hedge-percent -1", "-hedge-percent=-1"},
		{"losses-borne 1", "losses-borne 9", "-losses-borne=9"},
		{"memory-mb 284", "file-descriptors -1", "-file-descriptors=-1"},
		{"data-dir /data/my-front", "data-dir data", "-data-dir=data"},
	} {
		text := strings.Replace(entryFile, c.from, c.to, 1)
		require.NotEqual(t, entryFile, text)
		_, err := parse(t, text)
		require.ErrorContains(t, err, c.want)
		require.Equal(t, fault.BadSetting, fault.KindOf(err))
	}
	_, err := parse(t, entryFile+"colour red\n")
	require.ErrorContains(t, err, "colour")
	_, err = parse(t, strings.Replace(entryFile, "cores 1", "cores one", 1))
	require.ErrorContains(t, err, "cores")
}
