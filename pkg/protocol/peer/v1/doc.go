// Package peerv1 is the generated code of the protocol between the system's own
// processes, which proto/peer/v1/peer.proto describes.
package peerv1
