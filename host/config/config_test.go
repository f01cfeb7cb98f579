package config

import (
	"strings"
	"testing"
)

const valid = `{
  "host_id": "mv-north-1", "data_centre": "mv-north",
  "caller": {"listen": "127.0.0.1:8080"}, "peer": {"listen": "127.0.0.1:8081"},
  "admin": {"listen": "127.0.0.1:8082", "operators": [{"name": "ana",
    "token_sha256": "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}]},
  "platform": {"table": {"endpoint": "http://127.0.0.1:9000", "name": "bronzeyard"},
    "objects": {"endpoint": "http://127.0.0.1:9000", "bucket": "bronzeyard"}, "credentials": {"access_key_id": "x"}}
}`

func TestDecodeFillsDefaults(t *testing.T) {
	config, err := Decode([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if config.Cell != DefaultCell || config.Capacity != 1 || config.Platform.Table.Region != DefaultRegion {
		t.Errorf("defaults are not set: %+v", config)
	}
}

// Guards against accepting a configuration with which a host cannot work, and against errors without the path of the
// invalid field.
func TestDecodeRejects(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown field", `"host_id"`, `"hostid": 1, "host_id"`, `unknown field "hostid"`},
		{"missing host id", `"mv-north-1"`, `""`, "host_id: is required"},
		{"host name in place of IP number", "127.0.0.1:8080", "localhost:8080", "caller.listen: must be an IP number"},
		{"peers beyond loopback without TLS", "127.0.0.1:8081", "192.0.2.1:8081", "peer.tls: is required"},
		{"listen on all without advertise", "127.0.0.1:8080", "0.0.0.0:8080", "caller.advertise: is required"},
		{"plain token", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "secret", "admin.operators[0].token_sha256"},
		{"wrong type", `"mv-north-1"`, `7`, "host_id: expected string"},
		{"duration without unit", `"host_id"`, `"drain_time": 12, "host_id"`, "written as text with a unit"},
		{"negative capacity", `"host_id"`, `"capacity": -1, "host_id"`, "capacity: must be more than 0"},
		{"platform without scheme", `"http://127.0.0.1:9000", "name"`, `"127.0.0.1:9000", "name"`, "platform.table.endpoint"},
		{"text after the object", `"credentials": {"access_key_id": "x"}}
}`, `"credentials": {"access_key_id": "x"}}
} {}`, "unexpected text"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.replacement, 1)
			if text == valid {
				t.Fatal("the case changes nothing")
			}
			_, err := Decode([]byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}
