// Package sheet reads the planners' sheet, a CSV file as spreadsheet programs
// export it, and makes it the configuration of the service.
//
// Input: CSV, versions on the platform. Output: a configuration or all faults
// of the sheet, plans, new versions. State: none; the versions are rows of the
// platform. All functions are safe for concurrent use.
package sheet
