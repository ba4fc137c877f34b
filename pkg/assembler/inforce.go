package assembler

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// withConfiguration returns the settings of a host with a configuration document applied.
func withConfiguration(settings *loader.Settings, name string, document []byte) (*loader.Settings, error) {
	configuration, err := loader.ParseConfiguration(name, document)
	if err != nil {
		return nil, err
	}
	effective := *settings
	configuration.Fill(&effective)
	return &effective, nil
}

// applyConfig passes a configuration to the receiver; the coordinator has applied its own part.
// Every document is checked before it is accepted, so one that is invalid here was accepted by a
// host of another release: this host keeps its earlier configuration, and the log line is the only
// sign of it.
func (daemon *Daemon) applyConfig(version configurer.Version) {
	if len(version.Document) == 0 {
		return
	}
	name := fmt.Sprintf("version-%d", version.Version)
	effective, err := daemon.documents.apply(name, version.Document)
	if err != nil {
		daemon.Log.Error("configuration not understood, the earlier one stays", "version", version.Version, "err", err)
		return
	}
	daemon.receiver.SetLimits(effective.Limits)
	daemon.Log.Info("configuration in force", "version", version.Version, "operator", version.Operator, "request", version.Request)
}
