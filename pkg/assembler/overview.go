package assembler

import (
	"bytes"
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/presenter"
)

// registerStatus adds the status page and its JSON form to router.
func (daemon *Daemon) registerStatus(router *mux.Router) {
	router.HandleFunc("/v1/status", daemon.showStatus).Methods(http.MethodGet)
	router.HandleFunc("/status", daemon.showPage).Methods(http.MethodGet)
}

// overview collects the status for operators; it returns nil when the operator hangs up.
func (daemon *Daemon) overview(ctx context.Context) *presenter.Overview {
	output := daemon.operations.await(ctx, func(waiter uint64) coordinator.Input {
		return &coordinator.StatusWanted{Waiter: waiter}
	})
	answer, answered := output.(*coordinator.StatusAnswer)
	if !answered {
		return nil
	}
	created := &presenter.Overview{
		Status:       answer.Status,
		Waiting:      daemon.receiver.WaitingRequests(),
		WaitingBytes: daemon.receiver.WaitingBytes(),
		Responses:    daemon.measurer.Responses(),
	}
	if keys := daemon.security.keys; keys != nil {
		created.CertificateExpires = keys.Expires()
	}
	return created
}

func (daemon *Daemon) showStatus(writer http.ResponseWriter, request *http.Request) {
	if overview := daemon.overview(request.Context()); overview != nil {
		writeJSON(writer, http.StatusOK, overview)
	}
}

// showPage serves the status as an HTML page. Its headers keep a browser from loading anything, even
// if a caller has put markup into a name.
func (daemon *Daemon) showPage(writer http.ResponseWriter, request *http.Request) {
	overview := daemon.overview(request.Context())
	if overview == nil {
		return
	}
	var written bytes.Buffer
	if err := presenter.WritePage(&written, overview); err != nil {
		daemon.Log.Error("status page not written", "err", err)
		http.Error(writer, "the page can't be written", http.StatusInternalServerError)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "text/html; charset=utf-8")
	header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Cache-Control", "no-store")
	// An error means that the operator has hung up.
	_, _ = written.WriteTo(writer)
}
