package stage

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// wire holds the names of the platform's headers and of the variable with the path of the settings file.
var wire struct {
	Timeout          string `json:"timeout"`
	Instance         string `json:"instance"`
	NotRun           string `json:"not_run"`
	Load             string `json:"load"`
	Signature        string `json:"signature"`
	SettingsVariable string `json:"settings_variable"`
}

func init() {
	if err := json.Unmarshal(wireNames, &wire); err != nil {
		panic(err) // wire.json is part of the program
	}
}
