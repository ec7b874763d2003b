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
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/shoenig/test/must"
)

// asTool makes the test binary run as eelgrassctl, for the shell.
const asTool = "EELGRASSCTL_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(asTool) != "" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// nowhere is where a command goes that does not heed --platform.
const nowhere = "http://127.0.0.1:1"

// bench is an object API and the commands run against it.
type bench struct {
	t     *testing.T
	store *platform.Memory
	url   string
}

// newBench wraps the object API's handler, if wrap is not nil.
func newBench(t *testing.T, wrap func(*platform.Memory, http.Handler) http.Handler) bench {
	api := objectapi.New(objectapi.Options{})
	handler := api.Handler()
	if wrap != nil {
		handler = wrap(api.Memory, handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Setenv("EELGRASS_PLATFORM", nowhere)
	return bench{t: t, store: api.Memory, url: server.URL}
}

func (b bench) run(want int, args ...string) string {
	b.t.Helper()
	var out, errOut bytes.Buffer
	code := Run(append([]string{"--platform", b.url}, args...), &out, &errOut)
	must.Eq(b.t, want, code, must.Sprint(args, out.String(), errOut.String()))
	return out.String() + errOut.String()
}

// file writes a document with one organisation of a rate.
func (b bench) file(head, rate string) string {
	path := filepath.Join(b.t.TempDir(), "doc.hujson")
	doc := head + `{"service": "lab", "organisations": [{"name": "harbour", "rate_tokens_per_s": ` + rate + `, "burst_tokens": 9}]} // end` + "\n"
	must.NoError(b.t, os.WriteFile(path, []byte(doc), 0o600))
	return path
}

func (b bench) put(kind platform.Kind, name string, value any) {
	raw, err := json.Marshal(value)
	must.NoError(b.t, err)
	_, err = b.store.Put(context.Background(), platform.Object{Kind: kind, Name: name, Value: raw})
	must.NoError(b.t, err)
}

// TestDocumentFromFirstToLast: a document is checked, stored, read, changed on
// the version that it was read at, and deleted.
func TestDocumentFromFirstToLast(t *testing.T) {
	b := newBench(t, nil)
	must.StrContains(t, b.run(cli.ExitUsage, "apply", b.file("", `"many"`)), "organisations/rate_tokens_per_s")
	b.run(ExitNotFound, "get", "lab")
	must.StrContains(t, b.run(cli.ExitOK, "check", b.file("", "1")), "good")
	b.run(cli.ExitOK, "apply", b.file("", "1"))
	must.StrContains(t, b.run(ExitConflict, "apply", b.file("", "2")), "which version")
	edit := strings.Replace(b.run(cli.ExitOK, "get", "lab"), `"rate_tokens_per_s": 1`, `"rate_tokens_per_s": 2`, 1)
	path := filepath.Join(t.TempDir(), "edit")
	must.NoError(t, os.WriteFile(path, []byte(edit), 0o600))
	b.run(cli.ExitOK, "apply", path)
	must.StrContains(t, b.run(cli.ExitOK, "get", "lab"), `"rate_tokens_per_s": 2`)
	b.run(ExitConflict, "delete", "lab", "--if-version", "1")
	b.run(cli.ExitOK, "delete", "lab", "--if-version", "2")
	b.run(ExitNotFound, "get", "lab")
}

// TestRacingOperators: of edits based on one version one takes effect, and the
// others are told.
func TestRacingOperators(t *testing.T) {
	b := newBench(t, nil)
	b.run(cli.ExitOK, "apply", b.file("", "1"))
	var wg sync.WaitGroup
	var codes [ExitNotFound + 1]atomic.Int64
	for _, rate := range []string{"2", "3", "4", "5"} {
		path := b.file("// version: 1\n", rate)
		wg.Go(func() { codes[Run([]string{"--platform", b.url, "apply", path}, io.Discard, io.Discard)].Add(1) })
	}
	wg.Wait()
	must.Eq(t, 1, codes[cli.ExitOK].Load())
	must.Eq(t, 3, codes[ExitConflict].Load())
}

// TestLostReplies: an edit whose reply was lost reads as done, once.
func TestLostReplies(t *testing.T) {
	b := newBench(t, nil)
	lose := func() { b.store.SetFaults(platform.Faults{LoseReplies: 1}) }
	lose()
	must.StrContains(t, b.run(cli.ExitOK, "apply", b.file("", "1")), "version 1 stored")
	lose()
	b.run(cli.ExitOK, "key", "issue", "lab", "harbour")
	must.Eq(t, 1, strings.Count(b.run(cli.ExitOK, "get", "lab"), `"digest"`))
	lose()
	must.StrContains(t, b.run(cli.ExitOK, "delete", "lab", "--if-version", "2"), "version 3")
	b.store.SetFaults(platform.Faults{Outage: true})
	b.run(cli.ExitFailure, "status")
}

// TestLostReplyBeforeAnotherEdit: a key's edit that took effect, whose reply
// was lost and on which another operator's edit followed, still reads as done.
func TestLostReplyBeforeAnotherEdit(t *testing.T) {
	var lose atomic.Bool
	b := newBench(t, func(store *platform.Memory, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPut || !lose.CompareAndSwap(true, false) {
				next.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(httptest.NewRecorder(), r)
			obj, err := store.Get(r.Context(), platform.KindService, "lab")
			must.NoError(t, err)
			obj.Value = bytes.Replace(obj.Value, []byte(`"burst_tokens":`), []byte(`"burst_tokens":1`), 1)
			_, err = store.Put(r.Context(), obj)
			must.NoError(t, err)
			panic(http.ErrAbortHandler)
		})
	})
	b.run(cli.ExitOK, "apply", b.file("", "1"))
	lose.Store(true)
	key := b.run(cli.ExitOK, "key", "issue", "lab", "harbour")
	id := strings.Split(key, "-")[1]
	must.Eq(t, 1, strings.Count(b.run(cli.ExitOK, "get", "lab"), id))
	lose.Store(true)
	b.run(cli.ExitOK, "key", "withdraw", "lab", "harbour", id)
	must.StrNotContains(t, b.run(cli.ExitOK, "get", "lab"), id)
	b.run(ExitNotFound, "key", "withdraw", "lab", "harbour", id)
}

// TestStatusAndRecord: what instances keep in the platform is read.
func TestStatusAndRecord(t *testing.T) {
	b := newBench(t, nil)
	b.run(cli.ExitOK, "apply", b.file("", "1"))
	b.put(platform.KindStatus, "north", replica.Status{
		Zone: "north", Reader: "n1", Versions: map[string]uint64{"lab": 1}, InForce: 1, Instances: 2, Lagging: []string{"n2"},
	})
	must.StrContains(t, b.run(cli.ExitOK, "status"), "version 1 in force in 1 of 2 instances\nzone north: read by n1, 1 of 2 instances up to date\n  lagging: n2")
	journal := record.NewJournal(record.Origin{Instance: "n1", Incarnation: "i"}, 1, record.JournalOptions{})
	_, err := journal.Append(2, record.Entry{Kind: record.KindRefused, Service: "lab", Organisation: "harbour", RequestID: "r1", Detail: "rate_limited not_run"})
	must.NoError(t, err)
	journal.Stop(3)
	batch, _ := journal.Next(0)
	b.put(platform.KindRecord, batch.Name(), batch)
	must.StrContains(t, b.run(cli.ExitOK, "explain", "r1"), "refused lab/harbour request r1 rate_limited not_run")
	b.run(ExitNotFound, "explain", "r2")
	must.StrContains(t, b.run(cli.ExitOK, "record", "verify", "--service", "lab", "--organisation", "harbour"), "1 batches checked, 0 findings")
	batch.Entries[1].Detail = "ok"
	batch.Origin.Incarnation = "j"
	b.put(platform.KindRecord, batch.Name(), batch)
	must.StrContains(t, b.run(cli.ExitFailure, "record", "verify"), "changed: instance n1, incarnation j")
}

// TestRecordVerifyReadsLogs: entries that are log lines are checked against the
// heads that the platform holds.
func TestRecordVerifyReadsLogs(t *testing.T) {
	b := newBench(t, nil)
	journal := record.NewJournal(record.Origin{Instance: "n1", Incarnation: "i"}, 1, record.JournalOptions{})
	journal.Stop(2)
	b.put(platform.KindRecord, record.HeadsName("north"), record.Heads{Heads: []record.Head{journal.Head()}})
	batch, _ := journal.Next(0)
	var log bytes.Buffer
	lines := slog.New(slog.NewJSONHandler(&log, nil))
	for _, e := range batch.Entries {
		lines.Info("service record", record.LogKey, record.Placed{Origin: batch.Origin, Entry: e})
	}
	path := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(path, log.Bytes(), 0o600))
	must.StrContains(t, b.run(cli.ExitFailure, "record", "verify"), "missing: instance n1, incarnation i, entry 1 to 2")
	must.StrContains(t, b.run(cli.ExitOK, "record", "verify", "--log", path), "1 batches checked, 0 findings")
	cut := bytes.LastIndexByte(bytes.TrimSpace(log.Bytes()), '\n')
	must.NoError(t, os.WriteFile(path, log.Bytes()[:cut], 0o600))
	must.StrContains(t, b.run(cli.ExitFailure, "record", "verify", "--log", path), "missing: instance n1, incarnation i, entry 2")
	b.run(cli.ExitFailure, "record", "verify", "--log", path+".none")
}

// TestBashCompletes: the script completes commands in a shell.
func TestBashCompletes(t *testing.T) {
	var script strings.Builder
	must.Eq(t, cli.ExitOK, Run([]string{"completion", "bash"}, &script, io.Discard))
	tail := "\nCOMP_WORDS=(\"$TOOL\" record ver)\nCOMP_CWORD=2\n_eelgrassctl\necho \"${COMPREPLY[@]}\"\n"
	shell := exec.Command("bash", "-c", script.String()+tail)
	shell.Env = append(os.Environ(), asTool+"=1", "TOOL="+os.Args[0])
	out, err := shell.CombinedOutput()
	must.NoError(t, err)
	must.Eq(t, "verify\n", string(out))
}
