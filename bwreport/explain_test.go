package bwreport_test

import (
	"strings"
	"testing"

	"basilwood.example/basilwood/bwreport"
	"gotest.tools/v3/assert"
)

const firstLog = `front-a-1 {"@level":"info","@message":"request answered","@timestamp":"2026-10-20T01:15:47.100Z","method":"POST","request":"aa11","status":200}
not a log line about aa11
front-a-1 {"@level":"info","@message":"request answered","@timestamp":"2026-10-20T01:15:47.300Z","method":"GET","request":"bb22","status":200}
`

const secondLog = `{"@level":"info","@message":"job submitted","@timestamp":"2026-10-20T01:15:47.090Z","job":"aa11","verdict":"ok"}
{"@level":"info","@message":"run ended","@timestamp":"2026-10-20T01:15:48.090Z","executor":"i-1","how":"done","job":"aa11","run":1,"task":"0.0.0"}
`

func TestExplainMergesLogsByTime(t *testing.T) {
	var out strings.Builder
	n, err := bwreport.Explain(&out, "aa11", strings.NewReader(firstLog), strings.NewReader(secondLog))
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	assert.Equal(t, out.String(), `01:15:47.090  +0s      job submitted verdict=ok
01:15:47.100  +10ms    front-a-1 request answered method=POST status=200
01:15:48.090  +1s      run ended executor=i-1 how=done run=1 task=0.0.0
`)
}
