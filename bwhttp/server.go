// Package bwhttp holds what the HTTP listeners of all processes share: servers that a slow
// client cannot hold for ever, and JSON replies.
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

// NewServer returns a server with limits on the time and the headers of a request.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve answers requests until the server is closed or shut down.
func Serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// WriteJSON writes v as the body of a reply.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone, and nobody else needs the reply.
	_ = json.NewEncoder(w).Encode(v)
}

// Ready answers a readiness check.
func Ready(w http.ResponseWriter, isReady bool) {
	if !isReady {
		WriteJSON(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	WriteJSON(w, http.StatusOK, "ready")
}
