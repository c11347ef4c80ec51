//go:build review2

package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxRows and maxWait are the limits of the store's answers and waits.
	maxRows = 500
	maxWait = 30 * time.Second
	// history is how long the store keeps the changes of a table.
	history = 20 * time.Second
	// lapse is how long a worker may be silent until its entry is removed: three heartbeat intervals.
	lapse = 3 * heartbeat
	// workersPath is where the stand-ins for workers write their entries.
	workersPath = "/stand-in/servers/"
)

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowName
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"schemaVersion"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

type rowsAnswer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"schemaVersion"`
	NowMS     int64  `json:"nowMs"`
}

type transaction struct {
	Expect []row     `json:"expect"`
	Puts   []row     `json:"puts"`
	Remove []rowName `json:"remove"`
}

// store is the platform's metadata store, in memory.
type store struct {
	mu      sync.Mutex
	rows    map[rowName]row
	changes []row
	version uint64
	objects map[string][]byte
	began   time.Time
	beats   map[string]time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		rows: make(map[rowName]row), objects: make(map[string][]byte), beats: make(map[string]time.Time),
		began: time.Now(), changed: make(chan struct{}),
	}
}

func (s *store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.read)
	mux.HandleFunc("GET /api/rows-feed", s.follow)
	mux.HandleFunc("PUT /api/blob-put/{name}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /api/blob-get/{name}", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	mux.HandleFunc("PUT "+workersPath+"{id}", s.putWorker)
	mux.HandleFunc("DELETE "+workersPath+"{id}", s.removeWorker)
	return mux
}

// wake must be called with the lock held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply must be called with the lock held.
func (s *store) apply(t transaction) {
	s.version++
	now := time.Now()
	for _, put := range t.Puts {
		put.Version, put.at = s.version, now
		s.rows[put.rowName] = put
		s.changes = append(s.changes, put)
	}
	for _, name := range t.Remove {
		delete(s.rows, name)
		s.changes = append(s.changes, row{rowName: name, Version: s.version, Tombstone: true, at: now})
	}
	s.wake()
}

// put writes a row for the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []row{{rowName: rowName{Table: table, Key: key}, Value: value}}})
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.Version = cmp.Or(a.Version, s.version)
	a.NowMS = time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range t.Expect {
		if current := s.rows[expected.rowName]; current.Version != expected.Version {
			s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: []row{current}})
			return
		}
	}
	s.apply(t)
	s.answer(w, http.StatusOK, rowsAnswer{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, err := strconv.Atoi(q.Get("limit"))
	if err != nil || most <= 0 || most > maxRows {
		most = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for name, stored := range s.rows {
		to := q.Get("to")
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (to == "" || name.Key < to) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rowsAnswer{Rows: found[:min(len(found), most)], Truncated: len(found) > most})
}

func (s *store) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // zero if it is missing
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		changed := s.changed
		if s.answerFollow(w, q.Get("table"), after, isOver) {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// answerFollow answers a call that waits for changes if there are any, if its wait is over or if they were dropped. It must
// be called with the lock held.
func (s *store) answerFollow(w http.ResponseWriter, table string, after uint64, isOver bool) bool {
	oldest := uint64(0) // the version of the newest change that was dropped
	var found []row
	for _, change := range s.changes {
		switch {
		case time.Since(change.at) > history:
			oldest = change.Version
		case change.Table == table && change.Version > after:
			found = append(found, change)
		}
	}
	switch {
	case after < oldest || after > s.version:
		s.answer(w, http.StatusGone, rowsAnswer{})
	case len(found) > 0:
		s.answer(w, http.StatusOK, rowsAnswer{Rows: found})
	case isOver:
		s.answer(w, http.StatusOK, rowsAnswer{})
	default:
		return false
	}
	return true
}

func (s *store) putWorker(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	s.mu.Lock()
	s.beats[id] = time.Now()
	s.mu.Unlock()
	s.put("servers", id, value)
}

func (s *store) removeWorker(_ http.ResponseWriter, r *http.Request) { s.remove(r.PathValue("id")) }

func (s *store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, id)
	s.apply(transaction{Remove: []rowName{{Table: "servers", Key: id}}})
}

// removeLapsed removes the entries of workers that have been silent for too long.
func (s *store) removeLapsed() {
	s.mu.Lock()
	var silent []string
	for id, at := range s.beats {
		if time.Since(at) > lapse {
			silent = append(silent, id)
		}
	}
	s.mu.Unlock()
	for _, id := range silent {
		s.remove(id)
	}
}
