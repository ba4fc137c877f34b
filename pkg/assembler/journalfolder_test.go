package assembler

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
)

// folderFailures fails a share, in percent, of the calls that change or read the folder of a
// refusingDisk, not only writes and syncs of files.
var folderFailures struct {
	mutex  sync.Mutex
	random *rand.Rand
	share  int64
}

// failFolder makes calls fail from now on, drawn from a seed.
func failFolder(seed uint64, share int64) {
	folderFailures.mutex.Lock()
	defer folderFailures.mutex.Unlock()
	folderFailures.random, folderFailures.share = rand.New(rand.NewPCG(seed, 11)), share
}

func folderFailure() error {
	folderFailures.mutex.Lock()
	defer folderFailures.mutex.Unlock()
	if folderFailures.random != nil && folderFailures.random.Int64N(100) < folderFailures.share {
		return syscall.EIO
	}
	return nil
}

func (disk *refusingDisk) Rename(from, to string) error {
	if err := folderFailure(); err != nil {
		return err
	}
	return disk.Disk.Rename(from, to)
}

func (disk *refusingDisk) Remove(path string) error {
	if err := folderFailure(); err != nil {
		return err
	}
	return disk.Disk.Remove(path)
}

func (disk *refusingDisk) SyncFolder(path string) error {
	if err := folderFailure(); err != nil {
		return err
	}
	return disk.Disk.SyncFolder(path)
}

func (disk *refusingDisk) List(path string) ([]string, error) {
	if err := folderFailure(); err != nil {
		return nil, err
	}
	return disk.Disk.List(path)
}

func (disk *refusingDisk) Read(path string) ([]byte, error) {
	if err := folderFailure(); err != nil {
		return nil, err
	}
	return disk.Disk.Read(path)
}

// As TestRandomFailuresKeepWhatIsReported, with failures of renames, removals, lists, reads and folder syncs.
func TestRandomFailuresOfTheFolder(t *testing.T) {
	for seed := range uint64(1000) {
		playWriter(t, seed, 60, int64(seed%4*10))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
