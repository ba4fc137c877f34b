package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// serversPerRack is how many stand-ins share a rack.
const serversPerRack = 8

// standInCommand runs stand-in backend servers of one failure domain.
type standInCommand struct {
	commonOptions
	keyOptions
	SettingsDir   string `long:"settings-dir" value-name:"DIR" required:"yes" description:"the folder with the settings of all hosts"`
	FailureDomain string `long:"failure-domain" required:"yes" description:"where the backend servers stand"`
	Count         int    `long:"count" default:"4" description:"how many backend servers to run"`
	First         int    `long:"first" default:"0" description:"the number of the first, so that several processes can run stand-ins of one failure domain"`
	Slots         int    `long:"slots" default:"8" description:"how many tasks each runs at once"`
	MilliCPU      int64  `long:"milli-cpu" description:"make them workers with this much processor time, which run tasks of intents and none of jobs"`
	MemoryBytes   int64  `long:"memory-bytes" description:"the memory of each worker"`
	Accelerators  int32  `long:"accelerators" description:"the accelerators of each worker"`
	UsePermille   int64  `long:"use-permille" default:"1000" description:"what tasks of intents use of what they declare, in thousandths"`
	Record        string `long:"record" value-name:"FILE" description:"write one JSON line for each start to this file"`
}

// Execute runs the stand-ins until the process is interrupted.
func (command *standInCommand) Execute(_ []string) error {
	addresses, err := entryHostAddresses(command.SettingsDir, command.FailureDomain)
	if err != nil {
		return err
	}
	recorder, err := command.openRecorder()
	if err != nil {
		return err
	}
	keys, err := command.keys(command.terminal)
	if err != nil {
		return err
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	var group sync.WaitGroup
	for index := range command.Count {
		number := command.First + index
		standIn := &executor.Executor{
			Name:          command.nameOf(number),
			FailureDomain: command.FailureDomain,
			Rack:          fmt.Sprintf("%s-rack-%d", command.FailureDomain, number/serversPerRack),
			Slots:         command.Slots,
			EntryHosts:    addresses,
			Recorder:      recorder,
			Resources:     command.resources(),
			UsePermille:   command.UsePermille,
			Keys:          keys,
			Log:           logger,
		}
		group.Go(func() { standIn.Run(command.terminal.context) })
	}
	logger.Info("stand-ins started", "count", command.Count, "failure-domain", command.FailureDomain)
	group.Wait()
	return nil
}

// nameOf tells workers from other backend servers: both attach to the same hosts,
// which know them by their names.
func (command *standInCommand) nameOf(number int) string {
	if command.MilliCPU > 0 {
		return fmt.Sprintf("%s-worker-%d", command.FailureDomain, number)
	}
	return fmt.Sprintf("%s-%d", command.FailureDomain, number)
}

// resources returns what makes the stand-ins workers, or nil.
func (command *standInCommand) resources() *executor.Resources {
	if command.MilliCPU <= 0 {
		return nil
	}
	return &executor.Resources{MilliCPU: command.MilliCPU, MemoryBytes: command.MemoryBytes, Accelerators: command.Accelerators}
}

func (command *standInCommand) openRecorder() (*executor.Recorder, error) {
	if command.Record == "" {
		return nil, nil
	}
	file, err := os.OpenFile(command.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, failed("the record can't be opened: %v", err)
	}
	return &executor.Recorder{Writer: file}, nil
}

// entryHostAddresses lists where backend servers of a failure domain attach,
// from the settings of any of the hosts.
func entryHostAddresses(folder, failureDomain string) ([]string, error) {
	settings, err := anySettings(folder)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, host := range settings.Hosts {
		if string(host.FailureDomain) == failureDomain && host.BackendServersAddress.IsValid() {
			addresses = append(addresses, host.BackendServersAddress.String())
		}
	}
	if len(addresses) == 0 {
		return nil, malformed("the settings know no entry host in failure domain %q", failureDomain)
	}
	return addresses, nil
}

// anySettings loads the settings of one of the hosts whose files are in folder: each
// names all hosts.
func anySettings(folder string) (*loader.Settings, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, malformed("%s holds no settings files", folder)
	}
	settings, err := loader.Load(files[0])
	if err != nil {
		return nil, malformed("%v", err)
	}
	return settings, nil
}
