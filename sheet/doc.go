// Package sheet parses the planners' sheet, a CSV file exported from a
// spreadsheet program, and applies it as the configuration of the deployment.
//
// Input: CSV, versions stored on the platform. Output: a configuration or all
// faults of the sheet, plans, new versions. State: none; the versions are rows
// on the platform. All functions are safe for concurrent use.
package sheet
