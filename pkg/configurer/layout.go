package configurer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Layout is how a failure domain is divided into cells.
type Layout struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint" json:"failure-domain"`
	Cells         int                      `cbor:"2,keyasint" json:"cells"`
}
