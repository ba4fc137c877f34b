// Package replayer plays recorded traces through the deciding packages in virtual
// time and judges what came of it.
//
// The promises are checked from what the fake backend servers and the callers
// saw, never from the dispatcher's own books: a dispatcher that forgot a start
// would otherwise vouch for itself.
package replayer
