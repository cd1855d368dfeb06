package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `[node]
id = n1
zone = Larvik
system = test
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operator = 127.0.0.1:3
register = [::1]:4
[platform]
address = 127.0.0.1:5
[log]
level = warn
`

// loadText writes text to a settings file and loads it. It also returns the path of the file.
func loadText(t *testing.T, text string) (Settings, string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	return s, path, err
}

// Guards against defaults that fail Load's own checks, and against values that are lost or altered while loading.
func TestValidSettings(t *testing.T) {
	s, _, err := loadText(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.PeerAddress() != "127.0.0.1:2" {
		t.Errorf("peer address is %q, expected that of the listener", s.Listen.PeerAddress())
	}
	if s, _, err = loadText(t, strings.Replace(validSettings, "[listen]", "[listen]\nadvertise_peers = 127.0.0.1:9", 1)); err != nil || s.Listen.PeerAddress() != "127.0.0.1:9" {
		t.Errorf("peer address is %q, %v, expected advertise_peers", s.Listen.PeerAddress(), err)
	}
	if s, _, err = loadText(t, strings.Replace(validSettings, "Larvik", "%(id)s", 1)); err != nil || s.Node.Zone != "%(id)s" {
		t.Errorf("zone is %q, %v, expected the text as written in the file", s.Node.Zone, err)
	}
	if s, _, err = loadText(t, validSettings); err != nil {
		t.Fatal(err)
	}
	if s.Node.Zone != "Larvik" || s.Listen.Register != "[::1]:4" || s.Log.Level != "warn" || s.Log.Format != "logfmt" || s.Limits.Calls != 4096 {
		t.Errorf("settings are %+v", s)
	}
}

// Guards against errors that do not tell an operator the file, the section, the key and what is expected there.
func TestProblemsNameFileSectionKeyAndExpectation(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"missing key", "id = n1\n", "", `: [node] id: is "", expected a name`},
		{"name with space", "id = n1", "id = a b", `: [node] id: is "a b", expected a name of 1 to 64 bytes`},
		{"long name", "zone = Larvik", "zone = " + strings.Repeat("z", 65), ": [node] zone: is "},
		{"host name", "callers = 127.0.0.1:1", "callers = localhost:1", `: [listen] callers: is "localhost:1", expected IP:port`},
		{"no port", "peers = 127.0.0.1:2", "peers = 127.0.0.1", ": [listen] peers: is "},
		{"port 0", "peers = 127.0.0.1:2", "peers = 127.0.0.1:0", ": [listen] peers: is "},
		{"bad seed", "[log]", "[peers]\nseeds = 127.0.0.1:1, x\n[log]", `: [peers] seeds: is "x", expected IP:port`},
		{"not a number", "[log]", "[limits]\ncalls = many\n[log]", `: [limits] calls: is "many", expected a whole number from 1 to 65536`},
		{"out of range", "[log]", "[limits]\nrecords = 99\n[log]", `: [limits] records: is "99", expected a whole number from 100`},
		{"duration", "[log]", "[shutdown]\ntimeout = 60\n[log]", `: [shutdown] timeout: is "60", expected a duration from 1s to 1h`},
		{"choice", "level = warn", "level = loud", `: [log] level: is "loud", expected one of info, debug, warn, error`},
		{"share", "[log]", "[trace]\nsample = NaN\n[log]", `: [trace] sample: is "NaN", expected a number from 0 to 1`},
		{"endpoint", "[log]", "[trace]\nendpoint = http://x\n[log]", ": [trace] endpoint: is "},
		{"unknown key", "level = warn", "levels = warn", ": [log] levels: is not a known key, expected one of format, level"},
		{"unknown section", "[log]", "[logs]", ": [logs]: is not a known section, expected one of"},
		{"section twice", "[log]", "[node]\nid = n2\n[log]", ": [node]: is given twice, expected each section once"},
		{"key twice", "id = n1", "id = n1\nid = n2", ": [node] id: is set twice, expected each key once"},
		{"same key and value twice", "id = n1", "id = n1\nid = n1", ": [node] id: is set twice, expected each key once"},
		{"no delimiter", "level = warn", "level warn", ": key-value delimiter not found: level warn, expected sections with lines of the form KEY = VALUE"},
		{"no section", "[node]", "stray = 1\n[node]", ": [DEFAULT]: is not a known section"},
		{"unclosed section header", "[node]", "[node", ": "},
	} {
		changed := strings.Replace(validSettings, c.old, c.replacement, 1)
		_, path, err := loadText(t, changed)
		if changed == validSettings || err == nil || !strings.Contains(err.Error(), path+c.want) {
			t.Errorf("%s: error is %v, expected %s%s", c.name, err, path, c.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "absent.ini")); err == nil || !strings.Contains(err.Error(), "absent.ini") {
		t.Errorf("absent file: error is %v", err)
	}
}

// Guards against a settings file that makes the parser panic, and against accepting one without a node ID or a system.
func FuzzParse(f *testing.F) {
	for _, text := range []string{validSettings, validSettings + "[node]\n", "[node", "[node]\nid = %(id)s\n", "\xef\xbb\xbf[a]\nx=\"\"\"\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := parse("fuzz.ini", data); err == nil && (s.Node.ID == "" || s.Node.System == "") {
			t.Errorf("settings without node ID or system are accepted: %+v", s)
		}
	})
}
