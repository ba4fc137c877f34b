package selector_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// TestPoliciesKeepTheirView compares each policy with a plain map of loads under random
// updates. A pick must be a known server and must succeed exactly when a slot is free.
// The least-loaded policy must pick a server with the most free slots, and the blend one
// that has a free slot.
func TestPoliciesKeepTheirView(t *testing.T) {
	for _, kind := range selector.KindValues() {
		t.Run(kind.String(), rapid.MakeCheck(func(t *rapid.T) { checkPolicy(t, kind) }))
	}
}

func checkPolicy(t *rapid.T, kind selector.Kind) {
	settings := selector.DefaultSettings()
	settings.Kind = kind
	policy := selector.New[int](settings)
	loads := make(map[int]selector.Load)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		server := rapid.IntRange(0, 20).Draw(t, "server")
		if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
			policy.Remove(server)
			delete(loads, server)
		} else {
			busy := identifier.Slots(rapid.IntRange(0, 9).Draw(t, "busy"))
			loads[server] = selector.Load{Slots: 8, Busy: busy, Own: busy, Rack: identifier.RackID(fmt.Sprint(server % 3))}
			policy.Update(server, loads[server])
		}
		checkPick(t, kind, policy, loads)
	}
}

func checkPick(t *rapid.T, kind selector.Kind, policy selector.Policy[int], loads map[int]selector.Load) {
	var free, most identifier.Slots
	for _, load := range loads {
		free += load.Free()
		most = max(most, load.Free())
	}
	if policy.Free() != free {
		t.Fatalf("free is %d, want %d", policy.Free(), free)
	}
	picked, found := policy.Pick()
	if found != (free > 0) {
		t.Fatalf("pick found %v with %d free slots", found, free)
	}
	if !found {
		return
	}
	load, known := loads[picked]
	if !known {
		t.Fatalf("picked server %d, which was removed", picked)
	}
	if kind == selector.KindLeastLoaded && load.Free() != most {
		t.Fatalf("picked a server with %d free slots where one has %d", load.Free(), most)
	}
	if kind == selector.KindBlend && load.Free() == 0 {
		t.Fatalf("picked a full server")
	}
}

// TestOneJobSpreadsOverRacks starts as many tasks as there are racks on equally loaded
// servers; each rack must get one.
func TestOneJobSpreadsOverRacks(t *testing.T) {
	policy := selector.New[int](selector.DefaultSettings())
	for server := range 12 {
		policy.Update(server, selector.Load{Slots: 8, Rack: identifier.RackID(fmt.Sprint(server / 3))})
	}
	racks := make(map[int]bool)
	for range 4 {
		picked, _ := policy.Pick()
		racks[picked/3] = true
		policy.Update(picked, selector.Load{Slots: 8, Busy: 1, Rack: identifier.RackID(fmt.Sprint(picked / 3))})
	}
	if len(racks) != 4 {
		t.Fatalf("four tasks went to %d racks", len(racks))
	}
}

// TestBlendBoundsOneLead checks that one of four leads that share a server uses no more
// than its share of the slots plus a third of the free ones.
func TestBlendBoundsOneLead(t *testing.T) {
	settings := selector.DefaultSettings()
	settings.Kind = selector.KindBlend
	settings.Leads = 4
	policy := selector.New[int](settings)
	own := identifier.Slots(0)
	policy.Update(1, selector.Load{Slots: 8})
	for {
		if _, found := policy.Pick(); !found {
			break
		}
		own++
		policy.Update(1, selector.Load{Slots: 8, Busy: own, Own: own})
	}
	if own != 3 {
		t.Fatalf("one lead of four took %d of 8 slots", own)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, kind := range selector.KindValues() {
		for _, servers := range []int{50, 250, 5000} {
			b.Run(fmt.Sprintf("%s/%d", kind, servers), func(b *testing.B) { benchmarkDecision(b, kind, servers) })
		}
	}
}

// benchmarkDecision ends one task and starts another at 80 percent load.
func benchmarkDecision(b *testing.B, kind selector.Kind, servers int) {
	settings := selector.DefaultSettings()
	settings.Kind = kind
	policy := selector.New[int](settings)
	loads := make([]selector.Load, servers)
	for server := range loads {
		loads[server] = selector.Load{Slots: 8, Rack: identifier.RackID(fmt.Sprint(server / 8))}
		policy.Update(server, loads[server])
	}
	running := make([]int, 0, servers*8*4/5)
	start := func() int {
		picked, found := policy.Pick()
		for ; found && loads[picked].Free() == 0; picked, found = policy.Pick() {
		}
		loads[picked].Busy++
		policy.Update(picked, loads[picked])
		return picked
	}
	for range cap(running) {
		running = append(running, start())
	}
	oldest := 0
	b.ReportAllocs()
	for b.Loop() {
		ended := running[oldest]
		loads[ended].Busy--
		policy.Update(ended, loads[ended])
		running[oldest] = start()
		oldest = (oldest + 7) % len(running)
	}
}
