package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Config is one version of the configuration, the value of table.RowConfig.
type Config struct {
	// Version increases by one with each accepted configuration; the first is 1.
	Version uint64 `json:"version"`
	// Op is the operation id of the write. After a lost reply, table.Update uses it
	// to find out whether the write has taken effect.
	Op string `json:"op"`
	// Operator is the name of the operator who applied the version, and At is the
	// time at which it was applied.
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at,omitzero"`
	// Restores is the earlier version whose content this one restores, 0 if the
	// content came from the planners' sheet (package sheet).
	Restores uint64    `json:"restores,omitempty"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Workers  []Worker  `json:"workers"`
	// EvacuatedZones lists the availability zones on whose workers no task is started.
	// It is not part of the sheet; package sheet carries it over from version to version.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// Service is a kind of backend server with the request types it runs.
type Service struct {
	Name  string        `json:"name"`
	Types []RequestType `json:"types"`
}

// RequestType is a kind of task.
type RequestType struct {
	Name string `json:"name"`
	// DeadlineMS is the deadline of jobs that give none, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// Idempotent says that running a task twice does no harm. In submissions of
	// types that are not idempotent, an entry clears api.Submission.Idempotent before
	// it admits the job.
	Idempotent bool `json:"idempotent"`
}

// Team is a group of callers.
type Team struct {
	Name string `json:"name"`
	// Quota bounds the tasks in progress over all entries.
	Quota int `json:"quota"`
	// Weight is the share of the team relative to other teams while tasks wait.
	Weight int `json:"weight"`
}

// Worker is a host with a backend server.
type Worker struct {
	Name     string   `json:"name"`
	Services []string `json:"services"`
	// Drain says that the worker gets no new tasks.
	Drain bool `json:"drain"`
}

// Encode returns the value of the configuration row.
func Encode(c *Config) ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode configuration")
}

// Decode reads the value of a configuration row and validates it.
func Decode(value []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if faults := c.Validate(); len(faults) > 0 {
		return nil, errors.Wrapf(faults, "configuration version %d", c.Version)
	}
	return &c, nil
}

// Evacuated reports whether no task is to be started on the workers of the zone.
func (c *Config) Evacuated(zone string) bool { return slices.Contains(c.EvacuatedZones, zone) }

// Service returns the service with the name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Type returns the request type with the name.
func (s *Service) Type(name string) (*RequestType, bool) {
	for i := range s.Types {
		if s.Types[i].Name == name {
			return &s.Types[i], true
		}
	}
	return nil, false
}

// Team returns the team with the name.
func (c *Config) Team(name string) (*Team, bool) {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i], true
		}
	}
	return nil, false
}

// Worker returns the worker with the name.
func (c *Config) Worker(name string) (*Worker, bool) {
	for i := range c.Workers {
		if c.Workers[i].Name == name {
			return &c.Workers[i], true
		}
	}
	return nil, false
}
