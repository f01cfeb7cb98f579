// Package harness starts the project's own host processes on loopback addresses, sends them requests as callers do, and records what
// happens.
package harness

import (
	"encoding/json"
	"os"
)

// Names are the names that the platform uses.
type Names struct {
	SettingsVariable string `json:"settings_variable"`
	RequestID        string `json:"request_id"`
	TimeoutMs        string `json:"timeout_ms"`
	Target           string `json:"target"`
	NotExecuted      string `json:"not_executed"`
	Load             string `json:"load"`
	Signature        string `json:"signature"`
}

// LoadNames reads the names from a file.
func LoadNames(path string) (Names, error) {
	var names Names
	data, err := os.ReadFile(path)
	if err != nil {
		return names, err
	}
	return names, json.Unmarshal(data, &names)
}
