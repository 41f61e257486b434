// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"madderway/lab/standin"
	"madderway/modules/setting"
)

// Guards against calls that end without an answer when a planned stop does not wait for them any longer.
func TestDrainAnswersCallsInFlightAtItsEnd(t *testing.T) {
	f := newTunedFleet(t, 1, time.Millisecond, func(s *setting.Settings) { s.Caller.DrainTimeout.Duration = 100 * time.Millisecond })
	f.Plains["samples-1"].SetFaults(standin.Faults{Hang: true})
	n := f.Nodes()[0]
	answers := make(chan string, 2)
	for _, key := range []string{"", "k"} {
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+n.Settings.Caller.Listen+"/services/samples/submit", strings.NewReader("box"))
			req.Header.Set("Authorization", "Bearer "+Key("alder"))
			if key != "" {
				req.Header.Set("Idempotency-Key", key)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				answers <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			answers <- fmt.Sprint(resp.StatusCode, string(body), err)
		}()
	}
	waitFor(t, "both calls are in flight", func() bool { return n.Router.Dump().Control.Admission.Running == 2 })
	n.Router.Drain()
	n.Down = true
	for range 2 {
		if a := <-answers; !strings.Contains(a, `"name":"outcome_unknown"`) {
			t.Errorf("got %s, want an answer that the outcome is unknown", a)
		}
	}
}
