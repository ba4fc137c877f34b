package planner

// The random tests draw from a fixed seed, so that CI results are reproducible.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
