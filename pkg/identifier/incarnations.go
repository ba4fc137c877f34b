package identifier

import (
	"strconv"
	"strings"
)

// ServerIncarnation identifies one incarnation of a called backend server: the server's id and, if
// the server reports it, its start time. Incarnations are compared for equality only: a machine's
// clock may step back, so a later start need not have a later time.
type ServerIncarnation string

// incarnationSeparator can't occur in a server's id.
const incarnationSeparator = " "

// UnixMilliseconds is a point in time by another machine's wall clock.
type UnixMilliseconds int64

// NewServerIncarnation returns the incarnation of a server that started at startedAt.
func NewServerIncarnation(server BackendServerID, startedAt UnixMilliseconds) ServerIncarnation {
	return ServerIncarnation(string(server) + incarnationSeparator + strconv.FormatInt(int64(startedAt), 10))
}

// IncarnationWithoutStartTime returns the incarnation of a server that doesn't report its start
// time.
func IncarnationWithoutStartTime(server BackendServerID) ServerIncarnation {
	return ServerIncarnation(server)
}

// Server returns the server's id, which all its incarnations share.
func (incarnation ServerIncarnation) Server() BackendServerID {
	server, _, _ := strings.Cut(string(incarnation), incarnationSeparator)
	return BackendServerID(server)
}

// Dated reports whether the incarnation includes the server's start time.
func (incarnation ServerIncarnation) Dated() bool {
	return strings.Contains(string(incarnation), incarnationSeparator)
}
