package guarder

// The random tests draw from a fixed seed, so that CI has one verdict.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
