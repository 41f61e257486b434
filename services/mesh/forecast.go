// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"fmt"

	"madderway/core/cell"
	"madderway/core/forecast"
)

// countForecasts counts a cell's forecasts since the last call by how much later than
// forecast the response began.
func (t *traffic) countForecasts(key cell.Key, before, now forecast.Stats) {
	for i, n := range now.Errors {
		if more := n - before.Errors[i]; more > 0 {
			t.set.GetOrCreateCounter(forecastMetric(key, i)).Add(int(more))
		}
	}
}

// forecastMetric returns the counter of the errors up to a bound. The last one has none.
func forecastMetric(key cell.Key, bound int) string {
	late := "more"
	if bound < len(forecast.ErrorBounds) {
		late = forecast.ErrorBounds[bound].String()
	}
	return fmt.Sprintf("madderway_gateway_forecasts_total{cell=%q,late=%q}", string(key), late)
}
