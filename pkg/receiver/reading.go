package receiver

import (
	"io"
	"net/http"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// countingBody is a request body that counts the bytes read from it.
type countingBody struct {
	io.ReadCloser
	size int64
}

// Read reads from the wrapped body and adds the byte count to size.
func (body *countingBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	body.size += int64(count)
	return count, err
}

// readWithDeadline reads and checks a job and also returns the size of the body. The body must
// arrive within BodyTimeout; otherwise a caller that sends a byte now and then would hold its
// connection and memory forever. The HTTP server's ReadTimeout can't serve here, because it would
// also end the wait for the answer.
func (receiver *Receiver) readWithDeadline(writer http.ResponseWriter, request *http.Request) (*messenger.Job, identifier.Moment, int64, *problem) {
	body := &countingBody{ReadCloser: request.Body}
	request.Body = body
	controller := http.NewResponseController(writer)
	// Only the writers in tests don't support deadlines, and their bodies are in memory.
	_ = controller.SetReadDeadline(time.Now().Add(receiver.Settings.Timeouts.BodyTimeout.Std()))
	job, deadline, problem := receiver.readJob(writer, request)
	_ = controller.SetReadDeadline(time.Time{})
	return job, deadline, body.size, problem
}
