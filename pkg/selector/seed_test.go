package selector_test

// Importing seeder gives the random tests a fixed seed, so that CI runs are repeatable.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
