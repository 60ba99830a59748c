// Package weightserver is a stand-in for the platform's weight store. It serves model data at a limited rate that all
// readers share, and refuses readers above a maximum number.
package weightserver

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// Settings describe the store.
type Settings struct {
	// RateBytes is the rate that all readers share, in bytes/s.
	RateBytes int `json:"rate_bytes"`
	// MaxReaders is the maximum number of concurrent readers. Further ones are refused with status 429.
	MaxReaders int `json:"max_readers"`
	// ModelBytes is the size of every model version.
	ModelBytes int `json:"model_bytes"`
}

// Counts are the numbers of reads since the start. Reading is the number of current readers.
type Counts struct {
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
	Reading int   `json:"reading"`
}

// Server is the stand-in. Use Handler to serve it.
type Server struct {
	settings Settings
	limiter  *rate.Limiter

	mu     sync.Mutex
	counts Counts
}

// chunkBytes is the amount of data that a reader gets from the rate limiter at a time.
const chunkBytes = 16 << 10

// New returns a store that contains every model.
func New(settings Settings) *Server {
	return &Server{settings: settings, limiter: rate.NewLimiter(rate.Limit(settings.RateBytes), chunkBytes)}
}

// Handler serves GET /weights/<model>/<version>, and GET /standin/counts with Served and Refused as text.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/weights/{model}/{version}", s.read).Methods(http.MethodGet)
	r.HandleFunc("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		c := s.Counts()
		_, _ = w.Write([]byte(strconv.FormatInt(c.Served, 10) + " " + strconv.FormatInt(c.Refused, 10) + "\n"))
	}).Methods(http.MethodGet)
	return r
}

// Counts returns the numbers of reads since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Reading >= s.settings.MaxReaders {
		s.counts.Refused++
		return false
	}
	s.counts.Reading++
	return true
}

func (s *Server) release(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reading--
	if served {
		s.counts.Served++
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.acquire() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	served := false
	defer func() { s.release(served) }()
	w.Header().Set("Content-Length", strconv.Itoa(s.settings.ModelBytes))
	chunk := make([]byte, chunkBytes)
	for remaining := s.settings.ModelBytes; remaining > 0; {
		n := min(remaining, chunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
	served = true
}
