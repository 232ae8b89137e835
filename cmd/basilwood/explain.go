package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"basilwood.example/basilwood/bwreport"
)

// explain prints the log lines about a request or a job. It reads standard input if no files
// are given.
func (inv *invocation) explain(context.Context) error {
	logs := []io.Reader{os.Stdin}
	if len(inv.logFiles) > 0 {
		logs = nil
	}
	for _, name := range inv.logFiles {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	n, err := bwreport.Explain(os.Stdout, inv.requestOrJobID, logs...)
	if err != nil {
		return err
	}
	if n == 0 {
		return fmt.Errorf("no log line mentions request or job %q", inv.requestOrJobID)
	}
	return nil
}
