package gossiper

// The random tests draw from a fixed seed, so that CI is deterministic.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
