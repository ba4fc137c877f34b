package assembler

import (
	"io"
	"os"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// Guards against a keeper that joins anew after a restart on the disk with which it was admitted: if
// another one loses its disk then, nobody is left who could add them.
func TestJoiningIncarnationStaysWithTheDisk(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = t.TempDir()
	settings.Roles = []loader.Role{loader.RoleKeeper}
	daemon := &Daemon{Common: provider.New(&settings, io.Discard), Founding: FoundingOver}
	join := func() founders {
		joined, err := daemon.founders()
		if err != nil {
			t.Fatal(err)
		}
		return joined
	}
	first, restarted := join(), join()
	if !first.join || first.joiningAs == 0 || restarted.joiningAs != first.joiningAs {
		t.Errorf("joins as %d, after a restart as %d", first.joiningAs, restarted.joiningAs)
	}
	if err := os.RemoveAll(settings.DataFolder); err != nil {
		t.Fatal(err)
	}
	if wiped := join(); wiped.joiningAs == first.joiningAs {
		t.Error("a keeper without its disk joins as before")
	}
}
