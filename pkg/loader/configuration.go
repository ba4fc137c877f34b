package loader

import (
	"encoding/json"
	"reflect"
)

// Configuration is the part of the settings that operators change while the
// system runs: one document, the same on every host. A section that the document
// leaves out stays as each host's own settings have it; a section that it has is
// taken as a whole, its missing keys at their defaults. So a document that is
// right on one host is right on all of them.
type Configuration struct {
	// Teams lists the teams with their quotas; nil leaves the settings' own.
	Teams []Team
	// Classes lists the urgency classes; nil leaves the settings' own.
	Classes []Class
	// Limits bounds what callers may send; nil leaves the settings' own.
	Limits *Limits
	// Dispatch holds what may be tuned of dispatch; nil leaves the settings' own.
	Dispatch *DispatchTuning
}

// DispatchTuning is the part of Dispatch that can change while the system runs.
// The cells and the policy can't: hosts that disagree on them for a moment would
// look for a submission's record in different places.
type DispatchTuning struct {
	// RetryBudgetRatio is the share of starts that may be repeated elsewhere.
	RetryBudgetRatio float64 `json:"retry-budget-ratio"`
	// SpillMargin is how much sooner another failure domain must start a task.
	SpillMargin Duration `json:"spill-margin"`
	// EjectionFractionMax is the largest share of backend servers ejected at once.
	EjectionFractionMax float64 `json:"ejection-fraction-max"`
	// EjectionFailures is the number of failed tasks in a row that eject a server.
	EjectionFailures int `json:"ejection-failures"`
	// EjectionTime is how long a backend server first stays ejected.
	EjectionTime Duration `json:"ejection-time"`
}

// configurationDocument is the JSON form of a Configuration.
type configurationDocument struct {
	Teams    []Team         `json:"teams"`
	Classes  []Class        `json:"classes"`
	Limits   Limits         `json:"limits"`
	Dispatch DispatchTuning `json:"dispatch"`
}

// ParseConfiguration checks the content of a shared configuration with the code
// that checks settings; fileName only names it in errors. The error is an *Error
// with all problems.
func ParseConfiguration(fileName string, content []byte) (*Configuration, error) {
	reporter := newReporter(fileName, content)
	root, broken := readNode(content)
	if broken != nil {
		reporter.addAt(reporter.lineAt(broken.offset), "", "no valid JSON: "+broken.message)
		return nil, reporter.err()
	}
	settings := Defaults()
	document := configurationDocument{Limits: settings.Limits, Dispatch: tuningOf(&settings.Dispatch)}
	decoder := &decoder{reporter: reporter}
	decoder.decode("", root, reflect.ValueOf(&document).Elem())
	configuration := document.present(root)
	configuration.Fill(&settings)
	checker := &checker{reporter: reporter, settings: &settings}
	checker.checkNumbers()
	checker.checkTeams()
	checker.checkClasses()
	if err := reporter.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// present returns the sections that the document has.
func (document *configurationDocument) present(root *node) *Configuration {
	configuration := &Configuration{}
	if root.token != json.Delim('{') {
		return configuration
	}
	for _, member := range root.members {
		switch member.key {
		case "teams":
			configuration.Teams = document.Teams
		case "classes":
			configuration.Classes = document.Classes
		case "limits":
			configuration.Limits = &document.Limits
		case "dispatch":
			configuration.Dispatch = &document.Dispatch
		}
	}
	return configuration
}

// Fill overwrites the sections of settings that the configuration has.
func (configuration *Configuration) Fill(settings *Settings) {
	if configuration.Teams != nil {
		settings.Teams = configuration.Teams
	}
	if configuration.Classes != nil {
		settings.Classes = configuration.Classes
	}
	if configuration.Limits != nil {
		settings.Limits = *configuration.Limits
		settings.FitCapacity()
	}
	if tuning := configuration.Dispatch; tuning != nil {
		settings.Dispatch.RetryBudgetRatio = tuning.RetryBudgetRatio
		settings.Dispatch.SpillMargin = tuning.SpillMargin
		settings.Dispatch.EjectionFractionMax = tuning.EjectionFractionMax
		settings.Dispatch.EjectionFailures = tuning.EjectionFailures
		settings.Dispatch.EjectionTime = tuning.EjectionTime
	}
}

func tuningOf(dispatch *Dispatch) DispatchTuning {
	return DispatchTuning{
		RetryBudgetRatio:    dispatch.RetryBudgetRatio,
		SpillMargin:         dispatch.SpillMargin,
		EjectionFractionMax: dispatch.EjectionFractionMax,
		EjectionFailures:    dispatch.EjectionFailures,
		EjectionTime:        dispatch.EjectionTime,
	}
}
