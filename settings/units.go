package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded in JSON with its unit, such as "5s" or "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for a number without a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return fmt.Errorf("%q is not a duration with a unit such as \"250ms\" or \"5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Bytes is a size in bytes. It is encoded in JSON with its unit: "B", "KiB", "MiB" or "GiB".
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// MarshalText implements encoding.TextMarshaler. It uses the largest unit that needs no fraction.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, unit := range byteUnits {
		if b != 0 && int64(b)%unit.factor == 0 {
			return fmt.Appendf(nil, "%d%s", int64(b)/unit.factor, unit.suffix), nil
		}
	}
	return []byte("0B"), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for a number without a unit.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.factor {
			break
		}
		*b = Bytes(n * unit.factor)
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit such as \"64KiB\" or \"1MiB\"", text)
}

// Rate is in requests per second. It is encoded in JSON with its unit, such as "20/s"; "90/min" is also accepted.
type Rate float64

const secondsPerMinute = 60

// MarshalText implements encoding.TextMarshaler; the unit is always "/s".
func (r Rate) MarshalText() ([]byte, error) {
	return append(strconv.AppendFloat(nil, float64(r), 'f', -1, 64), "/s"...), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for a number without a unit.
func (r *Rate) UnmarshalText(text []byte) error {
	divisor := 1.0
	digits, found := strings.CutSuffix(string(text), "/s")
	if !found {
		divisor = secondsPerMinute
		digits, found = strings.CutSuffix(string(text), "/min")
	}
	n, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return fmt.Errorf("%q is not a rate with a unit such as \"20/s\" or \"90/min\"", text)
	}
	*r = Rate(n / divisor)
	return nil
}

// Time is in seconds since the Unix epoch; 0 means that it is not set. It is encoded in JSON as RFC 3339 in UTC.
type Time int64

// AsTime returns the time as a time.Time in UTC, or the zero time.Time if it is not set.
func (t Time) AsTime() time.Time {
	if t == 0 {
		return time.Time{}
	}
	return time.Unix(int64(t), 0).UTC()
}

// MarshalText implements encoding.TextMarshaler.
func (t Time) MarshalText() ([]byte, error) {
	return time.Unix(int64(t), 0).UTC().AppendFormat(nil, time.RFC3339), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for malformed text and for a time that is
// not after 1970-01-01T00:00:00Z.
func (t *Time) UnmarshalText(text []byte) error {
	parsed, err := time.Parse(time.RFC3339, string(text))
	if err != nil || parsed.Unix() <= 0 {
		return fmt.Errorf("%q is not a time in RFC 3339 after 1970-01-01T00:00:00Z", text)
	}
	*t = Time(parsed.Unix())
	return nil
}

const hashPrefix = "sha256:"

// MarshalText implements encoding.TextMarshaler: "sha256:" and 64 hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode([]byte(hashPrefix), h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error does not contain the text, which may be a key that was
// given instead of its hash.
func (h *KeyHash) UnmarshalText(text []byte) error {
	digits, found := strings.CutPrefix(string(text), hashPrefix)
	decoded, err := hex.DecodeString(digits)
	if !found || err != nil || len(decoded) != len(h) {
		return fmt.Errorf("a key hash must be %q followed by %d hexadecimal digits", hashPrefix, hex.EncodedLen(len(h)))
	}
	copy(h[:], decoded)
	return nil
}
