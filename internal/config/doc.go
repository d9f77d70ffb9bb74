// Package config reads process settings and team documents, both INI texts.
//
// Checking is strict: unknown sections and keys, duplicates, missing keys,
// wrong units and values out of range are all faults, and every fault of a
// text is reported at once with its file, line, key, value found and values
// allowed. A comment is a line of its own that starts with # or ;. A value is
// the rest of its line.
package config
