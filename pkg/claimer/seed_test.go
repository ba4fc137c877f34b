package claimer

// The seeder fixes the seed of the random tests, so that CI results are reproducible.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
