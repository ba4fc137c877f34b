package messenger

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// EvacuatedDomains lists the failure domains on whose backend servers nothing is started, by the
// evacuations in force. It is checked before a task is placed, a run is granted or a start is sent.
type EvacuatedDomains []identifier.FailureDomain

// Has reports whether a failure domain is evacuated.
func (evacuated EvacuatedDomains) Has(domain identifier.FailureDomain) bool {
	return slices.Contains(evacuated, domain)
}
