package bounds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// baselines lists the values by name, in the order of names.
func formatBaselines(values map[string]float64) string {
	parts := make([]string, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %s", name, formatNumber(values[name])))
	}
	return strings.Join(parts, ", ")
}
