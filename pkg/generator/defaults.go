package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// PhucTin returns the default parameters for the deployment of Phuc Tin's
// estimate-desk, without faults or bursts.
func PhucTin(seed uint64) *Parameters {
	parameters := defaultParameters(seed, "thu-duc", "tan-binh", "binh-chanh")
	parameters.CallerPrefix = "garage"
	parameters.Teams = []Team{{"estimates", 6}, {"adjusters", 3}, {"towing", 1}}
	parameters.Classes = []Class{{"counter", 7}, {"desk", 2}, {"nightly", 1}}
	return parameters
}

// BSV returns the default parameters for the deployment of BSV's claims-desk,
// without faults or bursts.
func BSV(seed uint64) *Parameters {
	parameters := defaultParameters(seed, "leuven", "roeselare", "geel")
	parameters.CallerPrefix = "advisor"
	parameters.Teams = []Team{{"parcels", 5}, {"declarations", 3}, {"entitlements", 2}}
	parameters.Classes = []Class{{"table", 6}, {"desk", 3}, {"nightly", 1}}
	return parameters
}

// defaultParameters returns the parameters that both deployments share, with the
// present sizes of the deployments. As the requirements say, most tasks take from
// 50 ms to a second and a few take several seconds.
func defaultParameters(seed uint64, domains ...identifier.FailureDomain) *Parameters {
	return &Parameters{
		Deployment: tracer.Deployment{
			FailureDomains:             domains,
			EntryHostsPerFailureDomain: 3,
			ExecutorsPerFailureDomain:  17,
			Slots:                      8,
			Connections:                60,
			OneWayDelay:                time.Millisecond,
			ClientOneWayDelay:          time.Millisecond,
			SyncDuration:               4 * time.Millisecond,
			Seed:                       seed,
		},
		Seed:   seed,
		Length: 6 * time.Second,
		Load:   0.5,
		Widths: EqualTasks(1, 10, 50, 110),
		RunTimes: RunTimes{
			ShortFrom: 50 * time.Millisecond,
			ShortTo:   time.Second,
			SlowShare: 0.02,
			SlowFrom:  2 * time.Second,
			SlowTo:    6 * time.Second,
		},
		MisdeclaredShare:   0.1,
		MisdeclaredFactor:  10,
		Callers:            200,
		NotRepeatableShare: 0.1,
	}
}
