package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/estimator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// within fails unless got lies within a quarter of want.
func within(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*3/4 || got > want*5/4 {
		t.Errorf("%s: got %v, want about %v", what, got, want)
	}
}

// TestWrongDeclarations guards against jobs that are refused or ordered by declared run
// times that are far off (row 15). Observed answers differ from the declared times, and the
// estimates must follow the observed ones.
func TestWrongDeclarations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	cases := []struct {
		name     string
		declared func(actual time.Duration) time.Duration
	}{
		{"ten times too short", func(actual time.Duration) time.Duration { return actual / 10 }},
		{"twenty times too long", func(actual time.Duration) time.Duration { return actual * 20 }},
		{"nothing declared", func(time.Duration) time.Duration { return 0 }},
		{"unrelated", func(time.Duration) time.Duration { return time.Duration(1+random.IntN(10_000)) * time.Millisecond }},
	}
	for _, test := range cases {
		tested := &estimator.Estimator{Settings: estimator.DefaultSettings()}
		key := estimator.Key{Team: "estimates", Class: "counter"}
		for range 200 {
			actual := time.Duration(80+random.IntN(41)) * time.Millisecond
			tested.Observe(key, test.declared(actual), actual)
		}
		actual := 100 * time.Millisecond
		within(t, test.name, tested.Model(key).Estimate(test.declared(actual)).Mean, actual)
	}
}

// TestDeclarationsThatTellJobsApart: declared times that are off by a constant factor,
// but distinguish short tasks from long ones, are corrected by the factor and used.
func TestDeclarationsThatTellJobsApart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tested := &estimator.Estimator{Settings: estimator.DefaultSettings()}
	key := estimator.Key{Team: "estimates", Class: "counter"}
	for range 500 {
		actual := time.Duration(50+random.IntN(950)) * time.Millisecond
		tested.Observe(key, actual/3, actual)
	}
	model := tested.Model(key)
	within(t, "short", model.Estimate(20*time.Millisecond).Mean, 60*time.Millisecond)
	within(t, "long", model.Estimate(300*time.Millisecond).Mean, 900*time.Millisecond)
}

// TestStragglersAndChange: one straggler of a thousand times the mean hardly changes the
// typical run time, and a lasting change is learned within a few windows of answers.
func TestStragglersAndChange(t *testing.T) {
	tested := &estimator.Estimator{Settings: estimator.DefaultSettings()}
	key := estimator.Key{Team: "estimates", Class: "counter"}
	observe := func(times int, ran time.Duration) {
		for range times {
			tested.Observe(key, 0, ran)
		}
	}
	observe(100, 100*time.Millisecond)
	observe(1, 100*time.Second)
	within(t, "typical after a straggler", tested.Model(key).Estimate(0).Typical, 100*time.Millisecond)
	observe(400, 400*time.Millisecond)
	within(t, "mean after a change", tested.Model(key).Estimate(0).Mean, 400*time.Millisecond)
}

// TestBoundedAndFallingBack: beyond the bounds a new team gets the estimate of its
// class, and a new class the estimate of all tasks. Neither is stored.
func TestBoundedAndFallingBack(t *testing.T) {
	tested := &estimator.Estimator{Settings: estimator.DefaultSettings()}
	tested.Settings.MaxKeys = 1
	tested.Settings.MaxClasses = 1
	for range 50 {
		tested.Observe(estimator.Key{Team: "first", Class: "counter"}, 0, 100*time.Millisecond)
		tested.Observe(estimator.Key{Team: "second", Class: "counter"}, 0, 300*time.Millisecond)
	}
	within(t, "own", tested.Model(estimator.Key{Team: "first", Class: "counter"}).Estimate(0).Mean, 100*time.Millisecond)
	within(t, "class", tested.Model(estimator.Key{Team: "second", Class: "counter"}).Estimate(0).Mean, 200*time.Millisecond)
	within(t, "all", tested.Model(estimator.Key{Team: "x", Class: "y"}).Estimate(time.Hour).Mean, 200*time.Millisecond)
	fresh := &estimator.Estimator{Settings: estimator.DefaultSettings()}
	estimate := fresh.Model(estimator.Key{Team: identifier.TeamID("x")}).Estimate(time.Second)
	if estimate.Learned || estimate.Mean != time.Second {
		t.Errorf("without answers: %v", estimate)
	}
}
