package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Config is the static settings of a host.
type Config struct {
	// HostID names the host across restarts. Required.
	HostID string `json:"host_id"`
	// DataCentre is where the host stands. Required.
	DataCentre string `json:"data_centre"`
	// Cell is the group of hosts that share an epoch. Default "main".
	Cell string `json:"cell,omitempty"`
	// Capacity weights the host's share of ownership and of callers. Default 1.
	Capacity float64 `json:"capacity,omitempty"`
	// Caller is the listener for callers.
	Caller Listener `json:"caller"`
	// Peer is the listener for other hosts.
	Peer Listener `json:"peer"`
	// Admin is the listener for operators, metrics, health and readiness.
	Admin Admin `json:"admin"`
	// Seeds are peer addresses that a starting host asks when the table cannot be read.
	Seeds []string `json:"seeds,omitempty"`
	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty"`
	// DrainTime is how long a leaving host goes on serving callers that hold an old address answer. Default 12 s.
	DrainTime Duration `json:"drain_time,omitempty"`
}

// Listener is an address with optional TLS.
type Listener struct {
	// Listen is an IP number and port.
	Listen string `json:"listen"`
	// Advertise is the IP number and port that others use. Default Listen.
	Advertise string `json:"advertise,omitempty"`
	// TLS is required for peers unless the address is on loopback.
	TLS *TLS `json:"tls,omitempty"`
}

// Address returns the address that others use.
func (l *Listener) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// TLS names PEM files.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority verifies the other side's certificate. Required for peers.
	Authority string `json:"authority,omitempty"`
}

// Admin is the operators' listener.
type Admin struct {
	Listener
	Operators []Operator `json:"operators"`
}

// Operator is a person or program that may change settings.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the hex SHA-256 of the operator's bearer token.
	TokenSHA256 string `json:"token_sha256"`
}

// Platform says where the platform's services are.
type Platform struct {
	Table   Table   `json:"table"`
	Objects Objects `json:"objects"`
	// HostList is the URL of the host list document; empty if there is none.
	HostList string `json:"host_list,omitempty"`
	// Credentials sign requests to table and object store.
	Credentials Credentials `json:"credentials"`
}

// Table is a table behind the DynamoDB API.
type Table struct {
	Endpoint string `json:"endpoint"`
	Name     string `json:"name"`
	// Region is part of the signature. Default "local".
	Region string `json:"region,omitempty"`
}

// Objects is a bucket behind the S3 API.
type Objects struct {
	Endpoint string `json:"endpoint"`
	Bucket   string `json:"bucket"`
	// Region is part of the signature. Default "local".
	Region string `json:"region,omitempty"`
}

// Credentials of the platform.
type Credentials struct {
	AccessKeyID string `json:"access_key_id"`
	// SecretFile is a file with the secret access key.
	SecretFile string `json:"secret_file,omitempty"`
}

// Duration is a time.Duration written as text, for example "1.5s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is written as text with a unit, for example \"1.5s\", not as %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Defaults.
const (
	DefaultCell      = "main"
	DefaultRegion    = "local"
	DefaultDrainTime = 12 * time.Second
)

// Load reads and validates the file.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// Decode decodes and validates static settings and fills in defaults. The error names the path of each fault.
func Decode(data []byte) (*Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	config := &Config{}
	if err := decoder.Decode(config); err != nil {
		return nil, describe(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected text after the settings object")
	}
	config.setDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return config, nil
}

func describe(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%s: expected %s, found %s", typeError.Field, typeError.Type, typeError.Value)
	}
	return err
}

func (c *Config) setDefaults() {
	if c.Cell == "" {
		c.Cell = DefaultCell
	}
	if c.Capacity == 0 {
		c.Capacity = 1
	}
	if c.LogLevel == "" {
		c.LogLevel = "info"
	}
	if c.DrainTime == 0 {
		c.DrainTime = Duration(DefaultDrainTime)
	}
	if c.Platform.Table.Region == "" {
		c.Platform.Table.Region = DefaultRegion
	}
	if c.Platform.Objects.Region == "" {
		c.Platform.Objects.Region = DefaultRegion
	}
}
