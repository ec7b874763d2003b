package ctl

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/cli"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/shoenig/test/must"
)

// TestGlobalOptionsReachCommands: global options count before and after the
// command, and for commands within commands.
func TestGlobalOptionsReachCommands(t *testing.T) {
	server := httptest.NewServer(objectapi.New(objectapi.Options{}).Handler())
	defer server.Close()
	t.Setenv("EELGRASS_PLATFORM", "http://127.0.0.1:1")
	for _, args := range [][]string{
		{"--platform", server.URL, "--output", "json", "status"},
		{"status", "--platform", server.URL, "--output", "json"},
	} {
		var out, errOut strings.Builder
		must.Eq(t, cli.ExitOK, Run(args, &out, &errOut), must.Sprint(errOut.String()))
		must.StrContains(t, out.String(), `"services": []`)
	}
	var out, errOut strings.Builder
	must.Eq(t, ExitNotFound, Run([]string{"--platform", server.URL, "key", "issue", "lab", "harbour"}, &out, &errOut), must.Sprint(errOut.String()))
}
