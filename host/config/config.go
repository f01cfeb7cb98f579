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

// Config is the static configuration of a host.
type Config struct {
	// HostID identifies the host across restarts. Required.
	HostID string `json:"host_id"`
	// DataCentre is the data centre in which the host runs. Required.
	DataCentre string `json:"data_centre"`
	// Cell names the group of hosts that share a membership epoch. Default "main".
	Cell string `json:"cell,omitempty"`
	// Capacity is the weight of the host in the distribution of ownership and of callers. Default 1.
	Capacity float64 `json:"capacity,omitempty"`
	// Caller is the listener for callers.
	Caller Listener `json:"caller"`
	// Peer is the listener for other hosts.
	Peer Listener `json:"peer"`
	// Admin is the listener for operators, metrics, health and readiness.
	Admin Admin `json:"admin"`
	// Seeds are peer addresses that a starting host queries if the table cannot be read.
	Seeds []string `json:"seeds,omitempty"`
	// Platform has the endpoints of the platform's services.
	Platform Platform `json:"platform"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty"`
	// DrainTime is the time for which a leaving host continues to serve callers that still use an old address response.
	// Default 12 s.
	DrainTime Duration `json:"drain_time,omitempty"`
}

// Listener is an address with optional TLS.
type Listener struct {
	// Listen is an IP address and port.
	Listen string `json:"listen"`
	// Advertise is the IP address and port that clients connect to. Default Listen.
	Advertise string `json:"advertise,omitempty"`
	// TLS is required for peers unless the address is on loopback.
	TLS *TLS `json:"tls,omitempty"`
}

// Address returns the address that clients connect to.
func (l *Listener) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// TLS has the paths of PEM files.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the CA certificate that verifies the peer's certificate. Required for the peer listener.
	Authority string `json:"authority,omitempty"`
}

// Admin configures the listener for operators.
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

// Platform has the endpoints and credentials of the platform's services.
type Platform struct {
	Table   Table   `json:"table"`
	Objects Objects `json:"objects"`
	// HostList is the URL of the host list document; empty if there is none.
	HostList string `json:"host_list,omitempty"`
	// Credentials sign the requests to the table and the object store.
	Credentials Credentials `json:"credentials"`
}

// Table is a table accessed through the DynamoDB API.
type Table struct {
	Endpoint string `json:"endpoint"`
	Name     string `json:"name"`
	// Region is part of the signature. Default "local".
	Region string `json:"region,omitempty"`
}

// Objects is a bucket accessed through the S3 API.
type Objects struct {
	Endpoint string `json:"endpoint"`
	Bucket   string `json:"bucket"`
	// Region is part of the signature. Default "local".
	Region string `json:"region,omitempty"`
}

// Credentials are the credentials for the platform's services.
type Credentials struct {
	AccessKeyID string `json:"access_key_id"`
	// SecretFile is the path of a file with the secret access key.
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

// Defaults of fields that are omitted.
const (
	DefaultCell      = "main"
	DefaultRegion    = "local"
	DefaultDrainTime = 12 * time.Second
)

// Load reads, decodes and validates a configuration file.
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

// Decode decodes a configuration, sets defaults and validates it. The error names the path of each invalid field.
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
