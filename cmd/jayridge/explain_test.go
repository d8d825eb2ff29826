package main

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The output must have the request's lines from all processes sorted by time, the state changes of its instances and upstreams shortly
// before, and the number of log lines that could not be parsed.
func TestExplain(t *testing.T) {
	const log = `
suva-2 {"level":"info","instance":"g2","event":412,"request":"r1","upstream":"u2","result":"full","time":"2026-12-04T10:00:01.2Z","message":"attempt failed"}
{"level":"warn","instance":"g1","event":308,"upstream":"u1","time":"2026-12-04T10:00:00.5Z","message":"upstream down"}
{"level":"warn","instance":"g1","event":308,"upstream":"u9","time":"2026-12-04T10:00:00.6Z","message":"another upstream down"}
{"level":"warn","instance":"g3","event":701,"time":"2026-12-04T10:00:00.7Z","message":"another gateway's store"}
{"level":"warn","instance":"g1","event":701,"time":"2026-12-04T09:00:00.7Z","message":"long before"}
{"level":"info","instance":"g1","event":412,"request":"r1","upstream":"u1","result":"unreachable","time":"2026-12-04T10:00:01Z","message":"attempt failed"}
{"level":"info","instance":"g1","event":409,"request":"r2","time":"2026-12-04T10:00:01.1Z","message":"another request"}
{"level":"info","instance":"g1","event":
torn
`
	lines, skipped, err := parseLog(strings.NewReader(log))
	must.NoError(t, err)
	must.EqOp(t, 3, skipped)
	var out strings.Builder
	must.NoError(t, explain(&out, lines, skipped, "r1", 3*time.Second))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 4, got)
	must.StrContains(t, got[0], "-500.0 ms  g1               308 upstream down upstream=u1")
	must.StrContains(t, got[1], "result=unreachable")
	must.StrContains(t, got[2], "+200.0 ms  g2")
	must.EqOp(t, "7 lines read, 3 skipped", got[3])
	must.Error(t, explain(&out, lines, skipped, "r9", time.Second))
}
