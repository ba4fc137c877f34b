package coordinator_test

// The random tests draw from a fixed seed, so that results in CI are reproducible.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
