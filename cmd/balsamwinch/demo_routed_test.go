package main

import (
	"bytes"
	"encoding/json"
	"testing"
)

// With -once the routed demo must print one complete answer and exit.
func TestRoutedDemoOnceReturnsCompleteAnswer(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := run(t.Context(), []string{"demo", "-routed", "-once"}, &out, &errOut); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	var ra routedAnswer
	if err := json.Unmarshal(out.Bytes(), &ra); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	if len(ra.Records) != routedTopK || len(ra.Stamps) != demoShards || ra.Missing != 0 {
		t.Fatalf("answer is not complete: %s", out.String())
	}
}
