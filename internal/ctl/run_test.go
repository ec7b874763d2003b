package ctl

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/shoenig/test/must"
)

// TestGlobalOptionsReachCommands checks that global options take effect before and
// after the command, and for subcommands.
func TestGlobalOptionsReachCommands(t *testing.T) {
	server := httptest.NewServer(objectapi.New(objectapi.Options{}).Handler())
	defer server.Close()
	t.Setenv("EELGRASS_PLATFORM", unreachableURL)
	for _, args := range [][]string{
		{"--platform", server.URL, "--output", "json", "status"},
		{"status", "--platform", server.URL, "--output", "json"},
	} {
		var out, errOut strings.Builder
		must.Eq(t, cli.ExitOK, Run(args, &out, &errOut), must.Sprint(errOut.String()))
		must.StrContains(t, out.String(), `"services": []`)
	}
	for _, args := range [][]string{{"key", "issue", "lab", "harbour"}, {"get", "lab"}, {"explain", "request"}} {
		var out, errOut strings.Builder
		must.Eq(t, ExitNotFound, Run(append([]string{"--platform", server.URL}, args...), &out, &errOut), must.Sprint(errOut.String()))
	}
	var out, errOut strings.Builder
	must.Eq(t, cli.ExitOK, Run([]string{"--platform", server.URL, "record", "verify"}, &out, &errOut), must.Sprint(errOut.String()))
}

// TestKeyIsIssuedAndWithdrawn checks that an issued key is in the document until it
// is withdrawn.
func TestKeyIsIssuedAndWithdrawn(t *testing.T) {
	t.Setenv("EELGRASS_PLATFORM", unreachableURL)
	api := objectapi.New(objectapi.Options{})
	server := httptest.NewServer(api.Handler())
	defer server.Close()
	doc := `{"service": "lab", "organisations": [{"name": "harbour", "rate_tokens_per_s": 1, "burst_tokens": 1}]}`
	_, err := api.Memory.Put(context.Background(), objectstore.Object{Kind: objectstore.KindService, Name: "lab", Value: []byte(doc)})
	must.NoError(t, err)
	run := func(args ...string) (out string) {
		var text, errOut strings.Builder
		must.Eq(t, cli.ExitOK, Run(append([]string{"--platform", server.URL, "--output", "json"}, args...), &text, &errOut), must.Sprint(errOut.String()))
		return text.String()
	}
	var key issueResult
	must.NoError(t, json.Unmarshal([]byte(run("key", "issue", "lab", "harbour")), &key))
	must.StrContains(t, run("get", "lab"), key.ID)
	run("key", "withdraw", "lab", "harbour", key.ID)
	must.StrNotContains(t, run("get", "lab"), key.ID)
}
