package sample_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"hyssoppitch/core/conf"
	"hyssoppitch/decl"
	"hyssoppitch/decl/sample"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestSamplesMatchGoldenFiles checks that the samples print their golden files and that
// the files are valid configurations.
func TestSamplesMatchGoldenFiles(t *testing.T) {
	tests := map[string]func(sample.Layout) *decl.Deployment{
		"authority": sample.Authority,
		"trust":     sample.Trust,
	}
	for name, declare := range tests {
		t.Run(name, func(t *testing.T) {
			var got bytes.Buffer
			if err := declare(sample.Layout{IP: "127.0.0.1", BasePort: 21000}).Print(&got); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", name+".json")
			if *update {
				if err := os.WriteFile(path, got.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("%s: the printed configuration differs from the golden file; run with -update and read the diff", path)
			}
			if _, err := conf.Parse(want); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		})
	}
}
