package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// sha256HexLength is the number of hexadecimal digits of a SHA-256 hash.
const sha256HexLength = 64

// Upper limits of configuration values.
const (
	MaxCapacity  = 1000
	MaxDrainTime = 10 * time.Minute
)

// fieldErrors collects errors, each of which begins with the path of the invalid field.
type fieldErrors []error

func (f *fieldErrors) add(path, format string, args ...any) {
	*f = append(*f, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
}

// Validate returns the errors of all invalid fields, joined into one error. Each begins with the path of its field.
func (c *Config) Validate() error {
	var f fieldErrors
	f.required("host_id", c.HostID)
	f.required("data_centre", c.DataCentre)
	if c.Capacity <= 0 || c.Capacity > MaxCapacity {
		f.add("capacity", "must be more than 0 and at most %d, is %g", MaxCapacity, c.Capacity)
	}
	if c.DrainTime <= 0 || time.Duration(c.DrainTime) > MaxDrainTime {
		f.add("drain_time", "must be more than 0 and at most %s, is %s", MaxDrainTime, time.Duration(c.DrainTime))
	}
	if _, err := zerolog.ParseLevel(c.LogLevel); err != nil {
		f.add("log_level", "must be debug, info, warn or error, is %q", c.LogLevel)
	}
	f.listener("caller", &c.Caller)
	f.listener("peer", &c.Peer)
	f.listener("admin", &c.Admin.Listener)
	f.peerTLS(&c.Peer)
	f.operators(c.Admin.Operators)
	for i, seed := range c.Seeds {
		f.address(fmt.Sprintf("seeds[%d]", i), seed, true)
	}
	f.platform(&c.Platform)
	return errors.Join(f...)
}

func (f *fieldErrors) required(path, value string) {
	if value == "" {
		f.add(path, "is required")
	}
}

func (f *fieldErrors) listener(path string, l *Listener) {
	f.address(path+".listen", l.Listen, false)
	if l.Advertise != "" {
		f.address(path+".advertise", l.Advertise, true)
	} else if address, err := netip.ParseAddrPort(l.Listen); err == nil && address.Addr().IsUnspecified() {
		f.add(path+".advertise", "is required because listen does not name a single address")
	}
	if l.TLS != nil {
		f.file(path+".tls.certificate", l.TLS.Certificate)
		f.file(path+".tls.key", l.TLS.Key)
	}
}

func (f *fieldErrors) address(path, value string, reachable bool) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		f.add(path, "must be an IP number and port such as 192.0.2.1:443, is %q", value)
	case reachable && (address.Addr().IsUnspecified() || address.Port() == 0):
		f.add(path, "must be an address that others can connect to, is %q", value)
	}
}

func (f *fieldErrors) file(path, name string) {
	if name == "" {
		f.add(path, "is required")
		return
	}
	if _, err := os.Stat(name); err != nil {
		f.add(path, "cannot be read: %v", err)
	}
}

func (f *fieldErrors) peerTLS(l *Listener) {
	if l.TLS != nil {
		f.file("peer.tls.authority", l.TLS.Authority)
		return
	}
	if address, err := netip.ParseAddrPort(l.Listen); err == nil && !address.Addr().IsLoopback() {
		f.add("peer.tls", "is required because %s is not a loopback address", l.Listen)
	}
}

func (f *fieldErrors) operators(operators []Operator) {
	if len(operators) == 0 {
		f.add("admin.operators", "needs at least one operator")
	}
	names := make(map[string]bool)
	for i, operator := range operators {
		path := fmt.Sprintf("admin.operators[%d]", i)
		f.required(path+".name", operator.Name)
		if names[operator.Name] {
			f.add(path+".name", "%q is listed twice", operator.Name)
		}
		names[operator.Name] = true
		if _, err := hex.DecodeString(operator.TokenSHA256); err != nil || len(operator.TokenSHA256) != sha256HexLength {
			f.add(path+".token_sha256", "must be the SHA-256 of the token as %d hexadecimal digits", sha256HexLength)
		}
	}
}

func (f *fieldErrors) platform(p *Platform) {
	f.url("platform.table.endpoint", p.Table.Endpoint)
	f.required("platform.table.name", p.Table.Name)
	f.url("platform.objects.endpoint", p.Objects.Endpoint)
	f.required("platform.objects.bucket", p.Objects.Bucket)
	if p.HostList != "" {
		f.url("platform.host_list", p.HostList)
	}
	if p.Credentials.SecretFile != "" {
		f.file("platform.credentials.secret_file", p.Credentials.SecretFile)
	}
}

func (f *fieldErrors) url(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		f.add(path, "must be an http or https URL, is %q", value)
	}
}
