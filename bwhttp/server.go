// Package bwhttp provides the HTTP servers, JSON replies and exchanges that all processes
// share. The servers limit the time to read a request, so that a slow client cannot hold a
// connection indefinitely. The exchanges of clients limit silence, so that a large body arrives
// over a slow link and a dead connection is still detected.
package bwhttp

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server that limits the time to read a request, the idle time of a
// connection and the size of the headers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves requests on l until the server is closed or shut down, which is not an error.
func Serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// WriteJSON writes a reply with the status and v, encoded as JSON, as its body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails if the client has disconnected; nobody else needs the reply then.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteReadiness writes the reply to a readiness check.
func WriteReadiness(w http.ResponseWriter, isReady bool) {
	if !isReady {
		WriteJSON(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	WriteJSON(w, http.StatusOK, "ready")
}
