package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/shoenig/test/must"
)

// runAsToolVariable names the environment variable that makes the test binary run
// as eelgrassctl, for the test of shell completion.
const runAsToolVariable = "EELGRASSCTL_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsToolVariable) != "" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// unreachableURL is the platform in the environment: a command that ignores
// --platform fails on it.
const unreachableURL = "http://127.0.0.1:1"

// fixture is a stand-in of the platform that commands are run against.
type fixture struct {
	t     *testing.T
	store *objectstore.Memory
	url   string
}

// newFixture starts the stand-in. If wrap is not nil, it wraps the handler of the
// object API.
func newFixture(t *testing.T, wrap func(*objectstore.Memory, http.Handler) http.Handler) fixture {
	api := objectapi.New(objectapi.Options{})
	handler := api.Handler()
	if wrap != nil {
		handler = wrap(api.Memory, handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Setenv("EELGRASS_PLATFORM", unreachableURL)
	return fixture{t: t, store: api.Memory, url: server.URL}
}

// run runs a command, checks its exit code and returns its output and errors.
func (f fixture) run(want int, args ...string) string {
	f.t.Helper()
	var out, errOut bytes.Buffer
	code := Run(append([]string{"--platform", f.url}, args...), &out, &errOut)
	must.Eq(f.t, want, code, must.Sprint(args, out.String(), errOut.String()))
	return out.String() + errOut.String()
}

// file writes head, followed by a document with one organisation of the given
// rate, to a new file and returns its path.
func (f fixture) file(head, rate string) string {
	path := filepath.Join(f.t.TempDir(), "doc.hujson")
	doc := head + `{"service": "lab", "organisations": [{"name": "harbour", "rate_tokens_per_s": ` + rate + `, "burst_tokens": 9}]} // end` + "\n"
	must.NoError(f.t, os.WriteFile(path, []byte(doc), 0o600))
	return path
}

func (f fixture) put(kind objectstore.Kind, name string, value any) {
	raw, err := json.Marshal(value)
	must.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), objectstore.Object{Kind: kind, Name: name, Value: raw})
	must.NoError(f.t, err)
}

// TestDocumentLifecycle checks, stores, reads, edits and deletes a document, and
// checks that an edit or deletion based on no version or an old one is refused.
func TestDocumentLifecycle(t *testing.T) {
	f := newFixture(t, nil)
	must.StrContains(t, f.run(cli.ExitUsage, "apply", f.file("", `"many"`)), "organisations/rate_tokens_per_s")
	f.run(ExitNotFound, "get", "lab")
	must.StrContains(t, f.run(cli.ExitOK, "check", f.file("", "1")), "good")
	f.run(cli.ExitOK, "apply", f.file("", "1"))
	must.StrContains(t, f.run(ExitConflict, "apply", f.file("", "2")), "which version")
	edit := strings.Replace(f.run(cli.ExitOK, "get", "lab"), `"rate_tokens_per_s": 1`, `"rate_tokens_per_s": 2`, 1)
	path := filepath.Join(t.TempDir(), "edit")
	must.NoError(t, os.WriteFile(path, []byte(edit), 0o600))
	f.run(cli.ExitOK, "apply", path)
	must.StrContains(t, f.run(cli.ExitOK, "get", "lab"), `"rate_tokens_per_s": 2`)
	f.run(ExitConflict, "delete", "lab", "--if-version", "1")
	f.run(cli.ExitOK, "delete", "lab", "--if-version", "2")
	f.run(ExitNotFound, "get", "lab")
}

// TestConcurrentApply checks that of several edits based on the same version one
// takes effect and the others fail with a conflict.
func TestConcurrentApply(t *testing.T) {
	f := newFixture(t, nil)
	f.run(cli.ExitOK, "apply", f.file("", "1"))
	var wg sync.WaitGroup
	var codes [ExitNotFound + 1]atomic.Int64
	for _, rate := range []string{"2", "3", "4", "5"} {
		path := f.file("// version: 1\n", rate)
		wg.Go(func() { codes[Run([]string{"--platform", f.url, "apply", path}, io.Discard, io.Discard)].Add(1) })
	}
	wg.Wait()
	must.Eq(t, 1, codes[cli.ExitOK].Load())
	must.Eq(t, 3, codes[ExitConflict].Load())
}

// TestLostReplies checks that an edit whose reply was lost is reported as done and
// takes effect once.
func TestLostReplies(t *testing.T) {
	f := newFixture(t, nil)
	loseNextReply := func() { f.store.SetFaults(objectstore.Faults{LoseReplies: 1}) }
	loseNextReply()
	must.StrContains(t, f.run(cli.ExitOK, "apply", f.file("", "1")), "version 1 stored")
	loseNextReply()
	f.run(cli.ExitOK, "key", "issue", "lab", "harbour")
	must.Eq(t, 1, strings.Count(f.run(cli.ExitOK, "get", "lab"), `"digest"`))
	loseNextReply()
	must.StrContains(t, f.run(cli.ExitOK, "delete", "lab", "--if-version", "2"), "version 3")
	f.store.SetFaults(objectstore.Faults{Outage: true})
	f.run(cli.ExitFailure, "status")
}

// TestLostReplyBeforeAnotherEdit guards against applying an edit of a key twice, or
// reporting it as failed, when it took effect, its reply was lost and another
// operator's edit followed before the read-back.
func TestLostReplyBeforeAnotherEdit(t *testing.T) {
	var loseReply atomic.Bool
	f := newFixture(t, func(store *objectstore.Memory, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPut || !loseReply.CompareAndSwap(true, false) {
				next.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(httptest.NewRecorder(), r)
			obj, err := store.Get(r.Context(), objectstore.KindService, "lab")
			must.NoError(t, err)
			obj.Value = bytes.Replace(obj.Value, []byte(`"burst_tokens":`), []byte(`"burst_tokens":1`), 1)
			_, err = store.Put(r.Context(), obj)
			must.NoError(t, err)
			panic(http.ErrAbortHandler)
		})
	})
	f.run(cli.ExitOK, "apply", f.file("", "1"))
	loseReply.Store(true)
	key := f.run(cli.ExitOK, "key", "issue", "lab", "harbour")
	id := strings.Split(key, "-")[1]
	must.Eq(t, 1, strings.Count(f.run(cli.ExitOK, "get", "lab"), id))
	loseReply.Store(true)
	f.run(cli.ExitOK, "key", "withdraw", "lab", "harbour", id)
	must.StrNotContains(t, f.run(cli.ExitOK, "get", "lab"), id)
	f.run(ExitNotFound, "key", "withdraw", "lab", "harbour", id)
}

// TestStatusAndRecord checks the commands that read the status objects and the
// service record in the platform.
func TestStatusAndRecord(t *testing.T) {
	f := newFixture(t, nil)
	f.run(cli.ExitOK, "apply", f.file("", "1"))
	f.put(objectstore.KindStatus, "north", docsync.Status{
		Zone: "north", ZoneLeader: "n1", Versions: map[string]uint64{"lab": 1}, InForce: 1, Instances: 2, Lagging: []string{"n2"},
	})
	must.StrContains(t, f.run(cli.ExitOK, "status"), "version 1 in force in 1 of 2 instances\nzone north: read by n1, 1 of 2 instances up to date\n  lagging: n2")
	journal := record.NewJournal(record.Origin{Instance: "n1", Incarnation: "i"}, 1, record.JournalOptions{})
	_, err := journal.Append(2, record.Entry{Kind: record.KindRefused, Service: "lab", Organisation: "harbour", RequestID: "r1", Detail: "rate_limited not_run"})
	must.NoError(t, err)
	journal.Stop(3)
	batch, _ := journal.NextBatch(0)
	f.put(objectstore.KindRecord, batch.Name(), batch)
	must.StrContains(t, f.run(cli.ExitOK, "explain", "r1"), "refused lab/harbour request r1 rate_limited not_run")
	f.run(ExitNotFound, "explain", "r2")
	must.StrContains(t, f.run(cli.ExitOK, "record", "verify", "--service", "lab", "--organisation", "harbour"), "1 batches checked, 0 findings")
	batch.Entries[1].Detail = "ok"
	batch.Origin.Incarnation = "j"
	f.put(objectstore.KindRecord, batch.Name(), batch)
	must.StrContains(t, f.run(cli.ExitFailure, "record", "verify"), "changed: instance n1, incarnation j")
}

// TestRecordVerifyReadsLogs checks that entries in log files are verified against
// the chain heads in the platform.
func TestRecordVerifyReadsLogs(t *testing.T) {
	f := newFixture(t, nil)
	journal := record.NewJournal(record.Origin{Instance: "n1", Incarnation: "i"}, 1, record.JournalOptions{})
	journal.Stop(2)
	f.put(objectstore.KindRecord, record.HeadsName("north"), record.Heads{Heads: []record.Head{journal.Head()}})
	batch, _ := journal.NextBatch(0)
	var log bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&log, nil))
	for _, e := range batch.Entries {
		logger.Info("service record", record.LogKey, record.Placed{Origin: batch.Origin, Entry: e})
	}
	path := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(path, log.Bytes(), 0o600))
	must.StrContains(t, f.run(cli.ExitFailure, "record", "verify"), "missing: instance n1, incarnation i, entry 1 to 2")
	must.StrContains(t, f.run(cli.ExitOK, "record", "verify", "--log", path), "1 batches checked, 0 findings")
	lastLine := bytes.LastIndexByte(bytes.TrimSpace(log.Bytes()), '\n')
	must.NoError(t, os.WriteFile(path, log.Bytes()[:lastLine], 0o600))
	must.StrContains(t, f.run(cli.ExitFailure, "record", "verify", "--log", path), "missing: instance n1, incarnation i, entry 2")
	f.run(cli.ExitFailure, "record", "verify", "--log", path+".none")
}

// TestBashCompletion checks that the script completes a command in bash.
func TestBashCompletion(t *testing.T) {
	var script strings.Builder
	must.Eq(t, cli.ExitOK, Run([]string{"completion", "bash"}, &script, io.Discard))
	tail := "\nCOMP_WORDS=(\"$TOOL\" record ver)\nCOMP_CWORD=2\n_eelgrassctl\necho \"${COMPREPLY[@]}\"\n"
	shell := exec.Command("bash", "-c", script.String()+tail)
	shell.Env = append(os.Environ(), runAsToolVariable+"=1", "TOOL="+os.Args[0])
	out, err := shell.CombinedOutput()
	must.NoError(t, err)
	must.Eq(t, "verify\n", string(out))
}
