package receiver

import (
	"io"
	"net/http"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// countingBody counts the bytes of a body as they are read.
type countingBody struct {
	io.ReadCloser
	size int64
}

// Read reads from the body.
func (body *countingBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	body.size += int64(count)
	return count, err
}

// readInTime reads and checks a job, with a deadline for the body: a caller that
// sends a byte now and then would else hold its connection and memory for ever.
// The server's own ReadTimeout won't do, as it would also end the wait for the
// answer. It returns the size of the body too.
func (receiver *Receiver) readInTime(writer http.ResponseWriter, request *http.Request) (*messenger.Job, identifier.Moment, int64, *problem) {
	body := &countingBody{ReadCloser: request.Body}
	request.Body = body
	controller := http.NewResponseController(writer)
	// A writer without deadlines, as tests have, reads from memory.
	_ = controller.SetReadDeadline(time.Now().Add(receiver.Settings.Timeouts.BodyTimeout.Std()))
	job, deadline, problem := receiver.readJob(writer, request)
	_ = controller.SetReadDeadline(time.Time{})
	return job, deadline, body.size, problem
}
