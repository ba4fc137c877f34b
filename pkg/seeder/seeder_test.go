package seeder_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/stoathitch/stoathitch/pkg/seeder"
)

// TestSeedIsFixed draws with the seed in force and with the same seed again.
func TestSeedIsFixed(t *testing.T) {
	if seed := flag.Lookup("rapid.seed").Value.String(); seed == "0" {
		t.Fatal("rapid draws from a random seed")
	}
	if first, second := drawn(t), drawn(t); first != second {
		t.Errorf("drew %q and then %q from one seed", first, second)
	}
}

func drawn(t *testing.T) string {
	var all string
	rapid.Check(t, func(t *rapid.T) { all += rapid.String().Draw(t, "text") })
	return all
}
