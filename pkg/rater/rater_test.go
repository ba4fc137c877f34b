package rater_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/rater"
)

// fleet rates servers whose runs take factor times the usual time, give or take noise.
type fleet struct {
	rater  rater.Rater
	random *rand.Rand
	ids    []identifier.ServerIncarnation
	factor []float64
}

func newFleet(seed uint64, factors ...float64) *fleet {
	created := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for index, factor := range factors {
		id := identifier.ServerIncarnation(fmt.Sprint("s", index))
		created.ids, created.factor = append(created.ids, id), append(created.factor, factor)
		created.rater.Add(id, kindNamed("a"), 0)
	}
	return created
}

func kindNamed(label string) rater.Kind { return rater.Kind{Service: "desk", Label: label} }

// run has random servers run pairs of tasks of one job, whose times are off together.
func (fleet *fleet) run(pairs int) {
	for range pairs {
		index := fleet.random.IntN(len(fleet.ids))
		job := 0.4 * fleet.random.NormFloat64()
		for range 2 {
			fleet.rater.Record(fleet.ids[index], math.Log(fleet.factor[index])+job+0.15*fleet.random.NormFloat64())
		}
	}
}

func (fleet *fleet) want(t *testing.T, index int, want float64) {
	t.Helper()
	if got := fleet.rater.Factor(fleet.ids[index]); math.Abs(math.Log(got/want)) > 0.25 {
		t.Errorf("server %d: factor %.2f, want %.2f", index, got, want)
	}
}

func rotated(count int, factors ...float64) []float64 {
	all := make([]float64, count)
	for index := range all {
		all[index] = factors[index%len(factors)]
	}
	return all
}

// TestAlikeServersStayAlike guards against differences that are only chance: decisions on a fleet whose
// servers differ by less than a tenth would depend on noise.
func TestAlikeServersStayAlike(t *testing.T) {
	for seed := range uint64(60) {
		for _, factors := range [][]float64{rotated(60, 1), rotated(6, 1), rotated(60, 0.91, 1, 1.09)} {
			fleet := newFleet(seed, factors...)
			for range 50 {
				fleet.run(len(factors) * 2)
				if fleet.rater.Differ() || fleet.rater.Factor("s0") != 1 {
					t.Fatalf("seed %d: %d alike servers differ", seed, len(factors))
				}
			}
		}
	}
}

// TestFactorsAreLearned guards against factors that are taken for the inverse, or that settle off the
// true ones: they refer to the geometric mean of the fleet.
func TestFactorsAreLearned(t *testing.T) {
	for _, factors := range [][]float64{{0.7, 0.7, 1.7}, {1 / 0.7, 1 / 0.7, 1 / 1.7}} {
		fleet := newFleet(1, rotated(58, factors...)...)
		fleet.run(58 * 25)
		mean := math.Cbrt(factors[0] * factors[1] * factors[2])
		wrong := 0
		for index, id := range fleet.ids {
			if math.Abs(math.Log(fleet.rater.Factor(id)/(fleet.factor[index]/mean))) > 0.25 {
				wrong++
			}
		}
		if !fleet.rater.Differ() || wrong > 3 {
			t.Errorf("%v: differ %v, %d of 58 factors are wrong", factors, fleet.rater.Differ(), wrong)
		}
	}
}

// TestKindWhoseSpeedChanges guards against a mean over all runs ever, which would follow such a change
// the later, the longer the servers have run.
func TestKindWhoseSpeedChanges(t *testing.T) {
	fleet := newFleet(2, rotated(60, 0.7, 1.4)...)
	fleet.run(60 * 200)
	for index := 0; index < 60; index += 2 {
		fleet.factor[index] = 2.8
	}
	fleet.run(60 * 60)
	fleet.want(t, 0, math.Sqrt2)
	fleet.want(t, 1, 1/math.Sqrt2)
}

// TestNewIncarnationOfAnotherKind guards against a server that starts again as another kind and counts
// as fast as before, or as a usual one, until it has run some tasks.
func TestNewIncarnationOfAnotherKind(t *testing.T) {
	fleet := newFleet(3, rotated(60, 0.7, 1.4)...)
	for index, id := range fleet.ids {
		fleet.rater.Add(id, kindNamed([]string{"fast", "slow"}[index%2]), 0)
	}
	fleet.run(60 * 30)
	fleet.rater.Remove("s0")
	fleet.rater.Add("s0-again", kindNamed("slow"), 0)
	fleet.ids[0] = "s0-again"
	fleet.want(t, 0, math.Sqrt2)
	fleet.rater.Reclassify("s1", kindNamed("fast"))
	fleet.want(t, 1, 1/math.Sqrt2)
}

// TestToldSpeeds guards against a lead that starts without the speeds that the previous one has learned,
// and against a wrong or impossible one of them that stays.
func TestToldSpeeds(t *testing.T) {
	fleet := newFleet(4, rotated(60, 0.7, 1.4)...)
	for index, id := range fleet.ids {
		fleet.rater.Report(id, []identifier.Speed{1414, 707}[index%2])
	}
	fleet.want(t, 0, 1/math.Sqrt2)
	fleet.want(t, 1, math.Sqrt2)
	fleet.rater.Report("s1", rater.MaxSpeed+1)
	fleet.want(t, 1, math.Sqrt2)
	fleet.rater.Report("s1", 2000)
	fleet.want(t, 1, 0.5)
	for range 15 {
		fleet.rater.Record("s1", math.Log(math.Sqrt2))
	}
	fleet.run(60)
	fleet.want(t, 1, math.Sqrt2)
}
