package loader

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Class is one urgency class of jobs.
type Class struct {
	// Class is the class's name.
	Class identifier.ClassName `json:"class"`

	// Weight is the class's share within a team, relative to the other classes.
	Weight int `json:"weight"`

	// Urgent marks a class whose jobs go before those of classes that are not.
	Urgent bool `json:"urgent"`
}
