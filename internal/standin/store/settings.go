package store

import (
	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/settings"
)

// Settings of the stand-in.
type Settings struct {
	Listen string `yaml:"listen"`
	// VMs is a JSON file with the first VM list; none if it is empty.
	VMs string `yaml:"vms"`
}

// Check implements settings.Checker.
func (s *Settings) Check(doc *strictyaml.Document) { settings.Address(doc, "listen", s.Listen) }
