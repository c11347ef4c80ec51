//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Table names of the platform.
const (
	operatorTable = "op"
	workerTable   = "servers"
)

const (
	storeHistory = 20 * time.Second
	maxFeedWait  = 30 * time.Second
	maxPage      = 500
	txTime       = 3 * time.Millisecond
)

// storeRow is a row as the store sends it.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"schemaVersion"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowName struct{ table, part, key string }

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// change is a write with the time at which it was acknowledged.
type change struct {
	row storeRow
	at  time.Time
}

// platformStore is a stand-in for the platform's store. It keeps all changes, so that it can come back from a copy.
type platformStore struct {
	mu      sync.Mutex
	version uint64
	era     uint64
	rows    map[rowName]storeRow
	changes []change
	dropped uint64 // changes up to this version are no longer told
	away    bool
	wake    chan struct{}
	started time.Time
	calls   int
}

func newPlatformStore() *platformStore {
	return &platformStore{rows: make(map[rowName]storeRow), wake: make(chan struct{}), started: time.Now(), era: 1}
}

// listen serves the store on a free loopback port. Only a privileged listener accepts what the operator and the workers write.
func (s *platformStore) listen(privileged bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, privileged) })
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(listener, s.whilePresent(mux)) }()
	return listener.Addr().String(), nil
}

// whilePresent answers 503 while the store is away, which says that nothing was done.
func (s *platformStore) whilePresent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.calls++
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(txTime)
		next.ServeHTTP(w, r)
	})
}

type transaction struct {
	Expect []storeRow `json:"expect"`
	Puts   []storeRow `json:"puts"`
	Remove []storeRow `json:"remove"`
}

func (s *platformStore) transact(w http.ResponseWriter, r *http.Request, privileged bool) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]storeRow{}, t.Puts...), t.Remove...) {
		if !privileged && (row.Table == operatorTable || row.Table == workerTable) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, e := range t.Expect {
		if s.rows[e.name()].Version != e.Version {
			s.answer(w, http.StatusPreconditionFailed, s.current(t.Expect), false, s.version)
			return
		}
	}
	s.version++
	now := time.Now()
	for _, row := range t.Puts {
		row.Version, row.Tombstone = s.version, false
		s.rows[row.name()] = row
		s.changes = append(s.changes, change{row, now})
	}
	for _, row := range t.Remove {
		delete(s.rows, row.name())
		s.changes = append(s.changes, change{storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Tombstone: true}, now})
	}
	s.wakeAll()
	s.answer(w, http.StatusOK, nil, false, s.version)
}

func (s *platformStore) current(names []storeRow) []storeRow {
	var out []storeRow
	for _, n := range names {
		if row, ok := s.rows[n.name()]; ok {
			out = append(out, row)
		}
	}
	return out
}

func (s *platformStore) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *platformStore) answer(w http.ResponseWriter, status int, rows []storeRow, truncated bool, version uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "schemaVersion": version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	for name, row := range s.rows {
		if name.table != query.Get("table") || name.part != query.Get("part") || name.key < query.Get("from") {
			continue
		}
		if to := query.Get("to"); to == "" || name.key < to {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(len(found), limit)], truncated, s.version)
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	end := time.Now().Add(min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for {
		if s.away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.expireHistory()
		if era != s.era || after > s.version || after < s.dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		var found []storeRow
		for _, c := range s.changes {
			if c.row.Table == query.Get("table") && c.row.Version > after {
				found = append(found, c.row)
			}
		}
		left := time.Until(end)
		if len(found) > 0 || left <= 0 {
			s.answer(w, http.StatusOK, found, false, s.version)
			return
		}
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(left):
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}

// expireHistory sets which changes the feed no longer tells.
func (s *platformStore) expireHistory() {
	for _, c := range s.changes {
		if time.Since(c.at) <= storeHistory {
			return
		}
		s.dropped = max(s.dropped, c.row.Version)
	}
}

// setAway makes the store refuse all calls, or serve again.
func (s *platformStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wakeAll()
}

// comeBackFromCopy lets the store serve again from a copy that was made at a time. It returns the version that it had
// before and the version of the copy.
func (s *platformStore) comeBackFromCopy(made time.Time) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.version
	kept := 0
	for kept < len(s.changes) && !s.changes[kept].at.After(made) {
		kept++
	}
	lost := s.changes[kept:]
	for _, c := range lost {
		s.undo(c.row.name(), s.changes[:kept])
	}
	if len(lost) > 0 {
		s.version = lost[0].row.Version - 1
	}
	s.changes = s.changes[:kept]
	s.era++
	s.dropped = min(s.dropped, s.version)
	s.away = false
	s.wakeAll()
	return before, s.version
}

// undo sets a row to its state after the kept changes.
func (s *platformStore) undo(name rowName, kept []change) {
	delete(s.rows, name)
	for _, c := range kept {
		switch {
		case c.row.name() != name:
		case c.row.Tombstone:
			delete(s.rows, name)
		default:
			s.rows[name] = c.row
		}
	}
}

func (s *platformStore) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// callCount returns how many calls the store got, those of workers and the operator included.
func (s *platformStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
