// Package backendv1 is the generated code of the published protocol between
// backend servers and entry hosts; proto/backend/v1/backend.proto says what its
// messages promise.
package backendv1
