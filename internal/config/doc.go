// Package config reads and prints the settings files of the processes and the
// documents in which teams configure their services. Both are INI texts.
//
// Parsing is strict: unknown sections and keys, duplicates, missing keys, wrong
// units and values out of range are faults. All faults of a text are returned
// together as Faults, each with its file, line, key, the value found and the
// values allowed. A comment is a line of its own that starts with # or ;. A value
// is the rest of its line.
//
// A text is scanned for line numbers and malformed lines (scan), parsed by ini.v1,
// and read key by key (reader), where each key has a kind that parses its value
// and describes the accepted values.
package config
