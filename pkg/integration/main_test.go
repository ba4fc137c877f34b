package integration_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	longFlag    = flag.Bool("long", false, "run the storm and the measurements too")
	minutesFlag = flag.Float64("minutes", 3, "how long the storm lasts")
	seedFlag    = flag.Uint64("seed", 1, "the seed of the storm")
	keepFlag    = flag.String("keep", "", "keep logs and records in this folder")
)

// patience bounds every wait for a condition. It is far above what a condition
// takes, so that a busy machine fails no test.
const patience = 60 * time.Second

// binaries is the folder of the built programs.
var binaries string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "stoathitch-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "../../cmd/stoathitch", "../../cmd/stoathitchd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	return m.Run()
}

// eventually waits until condition holds. What it returns while it does not hold
// is part of the failure.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s: %v", what, patience, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// longer returns the first duration in a plain run and the second with -long.
func longer(plain, long time.Duration) time.Duration {
	if *longFlag {
		return long
	}
	return plain
}
