package bounds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// formatBaselines lists the values with their names, sorted by name.
func formatBaselines(values map[string]float64) string {
	parts := make([]string, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %s", name, formatNumber(values[name])))
	}
	return strings.Join(parts, ", ")
}
