package store

import (
	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/settings"
)

// Settings holds the settings file of the stand-in.
type Settings struct {
	Listen string `yaml:"listen"`
	// VMListFile is a JSON file with the initial VM list. If it is empty, there is no initial list.
	VMListFile string `yaml:"vms"`
}

// Check implements settings.Checker.
func (s *Settings) Check(doc *strictyaml.Document) { settings.CheckAddress(doc, "listen", s.Listen) }
