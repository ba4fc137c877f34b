package elector

// The random tests draw from a fixed seed, so that every CI run has the same result.
import _ "github.com/stoathitch/stoathitch/pkg/seeder"
