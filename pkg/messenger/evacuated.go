package messenger

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Evacuated are the failure domains on whose backend servers nothing is started, by the
// operators' orders in force. Whoever places, grants or makes a start asks it.
type Evacuated []identifier.FailureDomain

// Has tells whether a failure domain is evacuated.
func (evacuated Evacuated) Has(domain identifier.FailureDomain) bool {
	return slices.Contains(evacuated, domain)
}
