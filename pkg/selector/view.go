package selector

import "github.com/stoathitch/stoathitch/pkg/identifier"

// view stores servers without gaps, so that one can be drawn at random in constant time.
type view[K comparable] struct {
	servers   []K
	loads     []Load
	positions map[K]int
	free      identifier.Slots
}

func newView[K comparable]() view[K] { return view[K]{positions: make(map[K]int)} }

// Update is part of Policy.
func (view *view[K]) Update(server K, load Load) {
	position, found := view.positions[server]
	if !found {
		view.positions[server] = len(view.servers)
		view.servers = append(view.servers, server)
		view.loads = append(view.loads, load)
		view.free += load.Free()
		return
	}
	view.free += load.Free() - view.loads[position].Free()
	view.loads[position] = load
}

// Remove is part of Policy.
func (view *view[K]) Remove(server K) {
	position, found := view.positions[server]
	if !found {
		return
	}
	view.free -= view.loads[position].Free()
	last := len(view.servers) - 1
	view.servers[position] = view.servers[last]
	view.loads[position] = view.loads[last]
	view.positions[view.servers[position]] = position
	var none K
	view.servers[last] = none
	view.servers = view.servers[:last]
	view.loads = view.loads[:last]
	delete(view.positions, server)
}

// Free is part of Policy.
func (view *view[K]) Free() identifier.Slots { return view.free }
