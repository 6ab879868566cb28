package main

import (
	"fmt"
	"os"
	"strings"

	"nickelline/internal/settings"
)

// SettingsCommand groups the commands for the settings file of a process.
type SettingsCommand struct {
	Check settingsCheck `cmd:"" help:"Check a settings file."`
}

// settingsCheck checks a settings file.
type settingsCheck struct {
	File string `arg:"" optional:"" help:"The file. Without it, the one that NICKELLINE_BOOT names." type:"path"`
	JSON bool   `help:"Print what was read as JSON."`
}

// Run carries out the command.
func (c *settingsCheck) Run() error {
	loaded, err := c.read()
	if err != nil {
		return invalidFile(err)
	}
	if c.JSON {
		return printJSON(os.Stdout, loaded)
	}
	fmt.Printf("%s is valid for role %s in zone %s: serves %s, %d seeds, data in %s\n", loaded.NodeName, loaded.Role, loaded.Zone,
		orNothing(strings.Join(loaded.Serves, ", ")), len(loaded.SeedNodes), orNothing(loaded.DataDirectory))
	return nil
}

func (c *settingsCheck) read() (*settings.Settings, error) {
	if c.File == "" {
		return settings.Load()
	}
	return settings.ReadFile(c.File)
}

func orNothing(text string) string {
	if text == "" {
		return "nothing"
	}
	return text
}
