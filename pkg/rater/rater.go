// Package rater learns how fast backend servers are from the run times of their tasks.
//
// It compares the run time of each task with what its queue leads to expect on a usual server, and
// keeps the mean of the logarithms of these ratios for each server. The mean of a server that has run
// few tasks is shrunk towards that of its kind. While no difference between the servers is proven
// beyond a tenth, all of them count as usual.
//
// The package is pure: it reads no clock and does no I/O.
package rater

import (
	"math"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

const (
	// memory is over about how many of its latest runs a server is rated. A server runs about ten
	// tasks a second, so that a kind whose speed changes is rated anew within some ten seconds.
	memory = 40
	// healthMemory is over how many runs the factor for the health follows the learned one. The
	// health of a server reacts within five runs, so that a server that becomes slow is ejected
	// before its slowness counts as its speed.
	healthMemory = 20
	// priorRuns is how many runs the prior of a server counts as.
	priorRuns = 4
	// kindPriorRuns is how many usual runs the mean of a kind starts from.
	kindPriorRuns = 20
	// minRuns is how many runs a server must have shown to prove a difference between servers.
	minRuns = 20
	// offsetLimit bounds how far one run counts as off the mean of its server. Logarithms of single
	// runs are off by 0.45 as declared times are; a run whose start was late is off by more.
	offsetLimit = 1
	// maxFactor bounds the factors: a server beyond it is unhealthy rather than slow.
	maxFactor = 2.5
	// differVariance and alikeVariance are the variances of the logarithms of factors above which
	// servers differ, and below which they are alike again. The latter is a standard deviation of a
	// tenth.
	differVariance = 0.02
	alikeVariance  = 0.01
	// errorsExcluded is the quantile of the normal distribution up to which chance may explain a
	// variance: one test in a million exceeds it. A lead tests some times a second, all day.
	errorsExcluded = 4.75
	// runsPerSample is how many runs count as one independent sample: a server runs two tasks of a job
	// at once, which are alike.
	runsPerSample = 2
	// noiseWeight is the weight of a new run for the variance of single runs; startNoise is that
	// variance before the first one.
	noiseWeight = 0.005
	startNoise  = 0.2
	// runsPerUpdate is after how many recorded runs all factors are computed anew, at least.
	runsPerUpdate = 16
)

// MinSpeed and MaxSpeed bound the speeds that are accepted from others.
const (
	MinSpeed identifier.Speed = 250
	MaxSpeed identifier.Speed = 4000
)

// IsPlausible reports whether a speed is known and within bounds.
func IsPlausible(speed identifier.Speed) bool { return speed >= MinSpeed && speed <= MaxSpeed }

// Kind is what servers of one make have in common. Racks are not part of it.
type Kind struct {
	Service  identifier.ServiceName
	Label    string
	Capacity identifier.Resources
}

// Rater rates the servers of one cell. The zero value is ready to use.
type Rater struct {
	servers *tabulator.Table[identifier.ServerIncarnation, server]
	kinds   *tabulator.Table[Kind, kind]
	// noise is the variance of single runs around the mean of their server.
	noise float64
	// differ is set while servers are proven to differ.
	differ bool
	// usual is the mean over the servers at the last update, to which factors refer.
	usual float64
	// recorded counts the runs since the last update.
	recorded int
	// stale is set if the factors have to be computed before they are read.
	stale bool
}

// server is what is known of one incarnation. All means are of natural logarithms of run time over
// expected run time.
type server struct {
	kind *kind
	runs int
	mean float64
	// reported is the logarithm that an earlier lead has learned; isReported reports whether there is one.
	reported   float64
	isReported bool
	// estimate is the mean, shrunk towards the prior; lagging follows it slowly. lagging starts from a
	// reported slowness, but not from a reported fastness: a usual server that was reported as fast would be ejected
	// for being slow before its runs have corrected that.
	estimate, lagging float64
	// factor and healthFactor are the results of the last update.
	factor, healthFactor float64
}

// kind is the common mean of the servers of one kind.
type kind struct {
	key     Kind
	servers int
	mean    float64
	// sum and weight add up the means of its servers during an update.
	sum, weight float64
}

func (rater *Rater) prepare() {
	if rater.servers == nil {
		rater.servers = tabulator.New[identifier.ServerIncarnation, server]()
		rater.kinds = tabulator.New[Kind, kind]()
		rater.noise = startNoise
	}
}

// Add starts to rate an incarnation of a server. It inherits nothing from earlier ones under its id;
// its prior is the speed that another lead has reported, or else the mean of its kind.
func (rater *Rater) Add(id identifier.ServerIncarnation, key Kind, reported identifier.Speed) {
	rater.prepare()
	rater.Remove(id)
	created := &server{kind: rater.kind(key), factor: 1, healthFactor: 1}
	created.kind.servers++
	created.setReported(reported)
	created.estimate = created.prior()
	created.lagging = created.estimate
	if created.isReported {
		created.lagging = max(created.reported, 0)
	}
	rater.setFactors(created)
	rater.servers.Put(id, created)
	// A server without a reported speed proves no difference and hardly moves the mean. An update for each
	// would cost the square of the servers when all of them join.
	rater.stale = rater.stale || created.isReported
}

func (rater *Rater) kind(key Kind) *kind {
	if known := rater.kinds.Get(key); known != nil {
		return known
	}
	created := &kind{key: key}
	rater.kinds.Put(key, created)
	return created
}

// Reclassify moves a server to another kind. A resized server keeps what it has shown; one with another
// label or service is another machine, and is rated anew.
func (rater *Rater) Reclassify(id identifier.ServerIncarnation, key Kind) {
	known := rater.get(id)
	if known == nil || known.kind.key == key {
		return
	}
	if known.kind.key.Label != key.Label || known.kind.key.Service != key.Service {
		rater.Add(id, key, 0)
		return
	}
	rater.leaveKind(known)
	known.kind = rater.kind(key)
	known.kind.servers++
	rater.stale = true
}

// Report replaces what is known of a server by the speed that the lead has learned. A speed out of
// bounds is ignored.
func (rater *Rater) Report(id identifier.ServerIncarnation, reported identifier.Speed) {
	known := rater.get(id)
	if known == nil || !known.setReported(reported) {
		return
	}
	known.runs, known.mean = 0, 0
	known.lagging = max(known.reported, 0)
	rater.stale = true
}

// Recall sets the speed that the keepers remember of a server, unless the server has shown its own or a
// lead has reported it.
func (rater *Rater) Recall(id identifier.ServerIncarnation, reported identifier.Speed) {
	if known := rater.get(id); known != nil && known.runs == 0 && !known.isReported {
		rater.Report(id, reported)
	}
}

// Remove forgets a server.
func (rater *Rater) Remove(id identifier.ServerIncarnation) {
	if known := rater.get(id); known != nil {
		rater.leaveKind(known)
		rater.servers.Remove(id)
	}
}

func (rater *Rater) leaveKind(known *server) {
	known.kind.servers--
	if known.kind.servers == 0 {
		rater.kinds.Remove(known.kind.key)
	}
}

// Record adds the run time of a task, as the natural logarithm of its ratio to the expected run time
// on a usual server. It reports whether the factors were computed anew.
func (rater *Rater) Record(id identifier.ServerIncarnation, ratio float64) bool {
	known := rater.get(id)
	if known == nil || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		return false
	}
	if known.runs == 0 {
		known.mean = known.prior()
	}
	known.runs++
	offset := min(max(ratio-known.mean, -offsetLimit), offsetLimit)
	if known.runs > minRuns {
		rater.noise += noiseWeight * (offset*offset - rater.noise)
	}
	known.mean += max(1/float64(known.runs), 1.0/memory) * offset
	known.estimate = known.shrunk()
	known.lagging += (known.estimate - known.lagging) / healthMemory
	rater.recorded++
	if rater.recorded < max(runsPerUpdate, rater.servers.Len()/4) {
		return false
	}
	rater.update()
	return true
}

// Factor is how much longer than on a usual server tasks take on a server.
func (rater *Rater) Factor(id identifier.ServerIncarnation) float64 {
	rater.refresh()
	if known := rater.get(id); known != nil {
		return known.factor
	}
	return 1
}

// HealthFactor is the factor for the assessment of a server's health, which follows more slowly.
func (rater *Rater) HealthFactor(id identifier.ServerIncarnation) float64 {
	rater.refresh()
	if known := rater.get(id); known != nil {
		return known.healthFactor
	}
	return 1
}

// Speed is the learned speed of a server; zero before it has shown one.
func (rater *Rater) Speed(id identifier.ServerIncarnation) identifier.Speed {
	rater.refresh()
	known := rater.get(id)
	if known == nil || known.runs < minRuns {
		return 0
	}
	return identifier.Speed(math.Round(float64(identifier.UsualSpeed) / known.factor))
}

// Differ reports whether the servers are proven to differ. Otherwise all factors are 1.
func (rater *Rater) Differ() bool {
	rater.refresh()
	return rater.differ
}

// EachKind visits the kinds with the number of their servers and the mean factor of these.
func (rater *Rater) EachKind(visit func(key Kind, servers int, factor float64)) {
	if rater.servers == nil {
		return
	}
	rater.refresh()
	sums := make(map[Kind]float64, rater.kinds.Len())
	rater.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		sums[server.kind.key] += math.Log(server.factor)
		return true
	})
	rater.kinds.Each(func(key Kind, kind *kind) bool {
		visit(key, kind.servers, math.Exp(sums[key]/float64(kind.servers)))
		return true
	})
}

func (rater *Rater) get(id identifier.ServerIncarnation) *server {
	if rater.servers == nil {
		return nil
	}
	return rater.servers.Get(id)
}

// setReported sets the speed that another lead has learned, and reports whether it is within bounds.
func (server *server) setReported(reported identifier.Speed) bool {
	if !IsPlausible(reported) {
		return false
	}
	server.isReported = true
	server.reported = clipped(-math.Log(float64(reported) / float64(identifier.UsualSpeed)))
	return true
}

// prior is what a server counts as before it has run anything.
func (server *server) prior() float64 {
	if server.isReported {
		return server.reported
	}
	return server.kind.mean
}

func (server *server) shrunk() float64 {
	runs := float64(min(server.runs, memory))
	return (runs*server.mean + priorRuns*server.prior()) / (runs + priorRuns)
}

// counts reports whether the server counts for the proof that servers differ.
func (server *server) counts() bool { return server.isReported || server.runs >= minRuns }

// clipped is a logarithm within the bounds of factors.
func clipped(logarithm float64) float64 {
	limit := math.Log(maxFactor)
	return min(max(logarithm, -limit), limit)
}
