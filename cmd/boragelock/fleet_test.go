package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

const sampleLog = `1.0 host1 [INFO]  not_run: request=abc target=t1 status=503 wrong_target=false key=7 sends=0
1.1 host2 [INFO]  served: request=abcd route=r target=t2 status=200
1.2 host1 [INFO]  refused: request=abc route=r workload=w target=t1 reason=deadline retry_after_ms=300 left_ms=120
1.2 host1 [INFO]  failed: request=abc code=overload status=503 took_ms=380
`

// TestExplain guards against lines of other requests whose identifiers share a
// prefix, and against an end event that is not the last one.
func TestExplain(t *testing.T) {
	x, err := explain(strings.NewReader(sampleLog), "abc")
	if err != nil {
		t.Fatal(err)
	}
	if len(x.Lines) != 3 || x.EndEvent != "failed" {
		t.Fatalf("%d lines, ended by %s", len(x.Lines), x.EndEvent)
	}
	if _, err := explain(strings.NewReader(sampleLog), "zzz"); err == nil {
		t.Fatal("an unknown request was explained")
	}
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(sampleLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := run(&env{stdout: &out, stderr: &errs}, []string{"explain", "-log", file, "abcd", "-json"}); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	if !strings.Contains(out.String(), `"ended": "served"`) {
		t.Fatal(out.String())
	}
	if code := run(&env{stdout: &out, stderr: &errs}, []string{"explain", "-log", file + "x", "abcd"}); code != exitUsage {
		t.Fatalf("exit code %d for a missing file", code)
	}
}

func TestFleet(t *testing.T) {
	store := standin.NewStore()
	srv := httptest.NewServer(store)
	defer srv.Close()
	store.Put(platform.TopicOperator, "config", map[string]any{"version": "0000000a", "tenants": []any{
		map[string]any{"name": "north", "api-keys": []string{"secret"}, "rate-per-s": 33.5, "burst": 12}, map[string]any{"name": "south", "api-keys": []string{"s"}}}})
	store.Put(platform.TopicOperator, "evacuate/z2", map[string]any{})
	store.Put(platform.TopicTargets, "t1", map[string]any{
		"service": "w", "address": "a:1", "zone": "z", "slots": 2, "state": "ready", "cold-left-s": 0, "seq": 1})
	store.Put(platform.TopicTargets, "bad", map[string]any{"service": 3})
	store.Put(platform.TopicControl, "ranges/w", ownership.NewRangeTable([]string{"t1"}, []float64{1}).Encode())
	var out, errs bytes.Buffer
	code := run(&env{stdout: &out, stderr: &errs}, []string{"fleet", "-store", strings.TrimPrefix(srv.URL, "http://")})
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	for _, want := range []string{"desired state 0000000a, evacuated: z2", "target t1 workload=w", "keys w 0-65535 owner=t1", "announcement of bad",
		"customer north limit=33.5/s burst=12", "customer south limit=none"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "secret") {
		t.Error("a credential is printed")
	}
}
