package operator_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/operator"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/timer"
)

const key = "the key of aino"

// fakeState is a State with fixed values.
type fakeState struct{ replica *note.Replica }

func (fakeState) Ready() string { return "" }
func (s fakeState) Router() *schema.RouterState {
	return &schema.RouterState{Id: "r", NoteVersion: uint64(s.replica.Version())}
}
func (fakeState) Routers() []*schema.RouterState { return []*schema.RouterState{{Id: "r"}} }
func (fakeState) Accounts() map[fleet.AccountID]*schema.AccountLoad {
	return map[fleet.AccountID]*schema.AccountLoad{"a": {Waiting: 3}}
}
func (fakeState) Upstreams() map[fleet.UpstreamID]*schema.UpstreamLoad { return nil }

type fixture struct {
	platform *memory.Platform
	registry *prometheus.Registry
	url      string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{platform: memory.New(timer.System{}), registry: prometheus.NewRegistry()}
	f.url = f.startRouter(t)
	return f
}

// startRouter starts the API of another router and returns its URL.
func (f *fixture) startRouter(t *testing.T) string {
	t.Helper()
	store := note.NewStore(f.platform, f.platform)
	replica := note.NewReplica(note.ReplicaOptions{Self: "r", Store: store})
	server := httptest.NewServer(operator.New(operator.Options{
		Keys: []*schema.OperatorKey{
			{Name: "juma", KeySha256: note.HashKey("another key")}, {Name: "aino", KeySha256: note.HashKey(key)},
		},
		Store: store, Replica: replica, State: fakeState{replica},
		Publisher: note.NewPublisher(note.PublisherOptions{Store: store, Replica: replica}),
		Registry:  f.registry,
		Log:       slog.New(slog.DiscardHandler),
	}))
	f.registry = prometheus.NewRegistry()
	t.Cleanup(server.Close)
	return server.URL
}

func accountNote(id string) []byte {
	return []byte(`{"summary": "` + id + `", // A comment.
		"added": {"accounts": [{"id": "` + id + `", "key-sha256": ["` + note.HashKey(id) + `"]}]}}`)
}

func weightNote(n string) []byte {
	return []byte(`{"summary": "weight ` + n + `", "based-on": 1,
		"changed": {"accounts": [{"id": "a", "weight": ` + n + `, "key-sha256": ["` + note.HashKey("a") + `"]}]}}`)
}

func TestPublishAndHistory(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	client := operator.NewClient(key, f.url)
	id := note.NewPublishID()
	answer, err := client.Publish(t.Context(), accountNote("a"), id)
	require.NoError(t, err)
	require.Equal(t, uint64(1), answer.GetVersion())
	require.Equal(t, "aino", answer.GetAuthor())

	answer, err = client.Publish(t.Context(), accountNote("a"), id)
	require.NoError(t, err)
	require.True(t, answer.GetAlready())

	_, err = client.Publish(t.Context(), accountNote("b"), note.NewPublishID())
	require.NoError(t, err)
	list, err := client.History(t.Context(), 0, 1)
	require.NoError(t, err)
	require.Len(t, list.GetNotes(), 1)
	require.Equal(t, uint64(2), list.GetNotes()[0].GetVersion())
	record, err := client.Record(t.Context(), 1)
	require.NoError(t, err)
	require.Equal(t, "aino", record.GetAuthor())
	accounts, err := client.Accounts(t.Context())
	require.NoError(t, err)
	require.Len(t, accounts.GetAccounts(), 2)
	require.Equal(t, uint32(3), accounts.GetAccounts()[0].GetLoad().GetWaiting())
}

func requireResponseError(t *testing.T, err error) *operator.ResponseError {
	t.Helper()
	var responseErr *operator.ResponseError
	require.ErrorAs(t, err, &responseErr)
	return responseErr
}

func TestFaultsIncludePositions(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	client := operator.NewClient(key, f.url)
	text := []byte("{\n  \"summary\": \"\",\n  \"withdrawn\": {\"accounts\": [\"a\"]},\n}")
	for _, do := range []func() error{
		func() error { _, err := client.Publish(t.Context(), text, note.NewPublishID()); return err },
		func() error { _, err := client.Check(t.Context(), text); return err },
	} {
		responseErr := requireResponseError(t, do())
		require.Equal(t, http.StatusUnprocessableEntity, responseErr.Status)
		require.NotEmpty(t, responseErr.Detail.GetFaults())
		require.Equal(t, uint32(2), responseErr.Detail.GetFaults()[0].GetLine())
	}
	_, err := client.Publish(t.Context(), []byte("{\"summary\": \"x\",\n  \"withdrawn\": {\"accounts\": [\"a\"]}}"), note.NewPublishID())
	require.Equal(t, uint32(2), requireResponseError(t, err).Detail.GetFaults()[0].GetLine())
}

// Two operators change one account from the same version. The error of the second
// must name the entry, the first operator and the version.
func TestClashesIncludeTheirAuthor(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	_, err := operator.NewClient(key, f.url).Publish(t.Context(), accountNote("a"), note.NewPublishID())
	require.NoError(t, err)
	_, err = operator.NewClient("another key", f.url).Publish(t.Context(), weightNote("2"), note.NewPublishID())
	require.NoError(t, err)
	for _, do := range []func() error{
		func() error {
			_, err := operator.NewClient(key, f.url).Publish(t.Context(), weightNote("3"), note.NewPublishID())
			return err
		},
		func() error { _, err := operator.NewClient(key, f.url).Check(t.Context(), weightNote("3")); return err },
	} {
		responseErr := requireResponseError(t, do())
		require.Equal(t, http.StatusConflict, responseErr.Status)
		require.Equal(t, operator.Clashing, responseErr.Reason())
		clash := responseErr.Detail.GetClashes()[0]
		require.Equal(t, "account a by juma in 2", clash.GetKind()+" "+clash.GetId()+" by "+clash.GetAuthor()+" in "+string(rune('0'+clash.GetVersion())))
	}
}

// The first router accepts the note, but its response is lost, for instance in a
// load balancer that restarts. The next router must report that the note was
// accepted, and neither publish it again nor report a clash.
func TestLostResponseIsResolvedByTheNextRouter(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	first := f.url
	droppingServer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, first+r.URL.Path, r.Body)
		if err == nil {
			request.Header = r.Header
			var response *http.Response
			if response, err = http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(droppingServer.Close)
	answer, err := operator.NewClient(key, droppingServer.URL, f.startRouter(t)).Publish(t.Context(), accountNote("a"), note.NewPublishID())
	require.NoError(t, err)
	require.True(t, answer.GetAlready())
	require.Equal(t, uint64(1), answer.GetVersion())

	var unsettled *note.UnsettledError
	_, err = operator.NewClient(key, droppingServer.URL).Publish(t.Context(), accountNote("b"), note.NewPublishID())
	require.ErrorAs(t, err, &unsettled)
}

// A publish is lost before it reaches the first router; meanwhile another
// operator changes the same account. Retrying it at the next router must not
// overwrite that change, although the note names no base version.
func TestRetryDoesNotOverwriteAnotherChange(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	_, err := operator.NewClient(key, f.url).Publish(t.Context(), accountNote("a"), note.NewPublishID())
	require.NoError(t, err)
	next := f.startRouter(t)
	droppingServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			http.Redirect(w, r, f.url+r.URL.Path, http.StatusTemporaryRedirect)
			return
		}
		_, err := operator.NewClient("another key", f.url).Publish(r.Context(), weightNote("2"), note.NewPublishID())
		if err != nil {
			t.Error(err)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(droppingServer.Close)
	retried := []byte(strings.Replace(string(weightNote("3")), `"based-on": 1,`, "", 1))
	_, err = operator.NewClient(key, droppingServer.URL, next).Publish(t.Context(), retried, note.NewPublishID())
	require.Equal(t, operator.Clashing, requireResponseError(t, err).Reason())
}

func TestOutageIsReportedImmediately(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.platform.Faults.Set(fault.Fault{Kind: fault.Down})
	client := operator.NewClient(key, "http://127.0.0.1:1", f.url)
	_, err := client.Publish(t.Context(), accountNote("a"), note.NewPublishID())
	require.Equal(t, operator.Unavailable, requireResponseError(t, err).Reason())
	require.NotZero(t, requireResponseError(t, err).Detail.GetRetryAfterMs())
	_, err = client.History(t.Context(), 0, 0)
	require.Equal(t, operator.Unavailable, requireResponseError(t, err).Reason())
	_, err = client.Accounts(t.Context())
	require.Equal(t, operator.NotReady, requireResponseError(t, err).Reason())
	var unreachable *operator.UnreachableError
	_, err = operator.NewClient(key, "http://127.0.0.1:1").Publish(t.Context(), accountNote("a"), note.NewPublishID())
	require.ErrorAs(t, err, &unreachable)
}

// Each bad request gets an error with a reason and is counted.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, method, path, key, body string
		header                        map[string]string
		status                        int
		reason                        operator.Reason
	}{
		{name: "no key", method: http.MethodGet, path: "/v1/accounts", status: 401, reason: operator.Denied},
		{name: "wrong key", method: http.MethodGet, path: "/v1/accounts", key: key + "x", status: 401, reason: operator.Denied},
		{name: "hash as key", method: http.MethodGet, path: "/v1/accounts", key: note.HashKey(key), status: 401, reason: operator.Denied},
		{name: "no such path", method: http.MethodGet, path: "/v1/nothing", key: key, status: 404, reason: operator.NotFound},
		{name: "no such method", method: http.MethodPut, path: "/v1/notes", key: key, status: 405, reason: operator.NotFound},
		{name: "no such note", method: http.MethodGet, path: "/v1/notes/7", key: key, status: 404, reason: operator.NotFound},
		{name: "version not a number", method: http.MethodGet, path: "/v1/notes/x", key: key, status: 400, reason: operator.BadRequest},
		{name: "limit too high", method: http.MethodGet, path: "/v1/notes?limit=1000", key: key, status: 400, reason: operator.BadRequest},
		{name: "malformed JSON", method: http.MethodPost, path: "/v1/notes", key: key, body: "{", status: 422, reason: operator.Invalid},
		{name: "too large", method: http.MethodPost, path: "/v1/notes", key: key, body: strings.Repeat(" ", document.MaxBytes+1), status: 413, reason: operator.BodyTooLarge},
		{
			name: "malformed publish id", method: http.MethodPost, path: "/v1/notes", key: key, body: "{}",
			header: map[string]string{operator.PublishIDHeader: "../head"}, status: 400, reason: operator.BadRequest,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			registry := prometheus.NewRegistry()
			f.registry = registry
			request, err := http.NewRequestWithContext(t.Context(), test.method, f.startRouter(t)+test.path, strings.NewReader(test.body))
			require.NoError(t, err)
			if test.key != "" {
				request.Header.Set("Authorization", "Bearer "+test.key)
			}
			for name, value := range test.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode, string(body))
			require.Contains(t, strings.ReplaceAll(string(body), " ", ""), `"reason":"`+string(test.reason)+`"`)
			require.Zero(t, f.platform.Commits())
			count, err := testutil.GatherAndCount(registry, "nutmeglock_operator_errors_total")
			require.NoError(t, err)
			require.NotZero(t, count)
			require.NoError(t, testutil.GatherAndCompare(registry, strings.NewReader(expectedMetrics(test.reason)), "nutmeglock_operator_errors_total"))
		})
	}
}

// expectedMetrics returns the metrics after one error.
func expectedMetrics(counted operator.Reason) string {
	text := "# HELP nutmeglock_operator_errors_total Answers of the administration API that were no success, by reason.\n# TYPE nutmeglock_operator_errors_total counter\n"
	for _, reason := range operator.Reasons() {
		count := "0"
		if reason == counted {
			count = "1"
		}
		text += `nutmeglock_operator_errors_total{reason="` + string(reason) + `"} ` + count + "\n"
	}
	return text
}

func TestHealthAndReadinessNeedNoKey(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, path := range []string{"/healthz", "/readyz"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+path, http.NoBody)
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}
