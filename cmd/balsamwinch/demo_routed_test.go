package main

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Someone starts the demo of the routed tier: one whole answer is printed, and
// the process ends.
func TestRoutedDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := run(t.Context(), []string{"demo", "-routed", "-once"}, &out, &errOut); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	var ra routedAnswer
	if err := json.Unmarshal(out.Bytes(), &ra); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	if len(ra.Records) != routedTopK || len(ra.Stamps) != demoShards || ra.Missing != 0 {
		t.Fatalf("not a whole answer: %s", out.String())
	}
}
