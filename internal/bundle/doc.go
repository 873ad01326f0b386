// Package bundle reads, checks, splits and signs the bundles that operators
// write, and decodes the parts that daemons receive.
//
// The text form is YAML after the schema's message Bundle. For the platform a
// bundle is split into parts by a hash of each entry's name, so that a change
// of one entry changes one part and no value nears a megabyte. Parts are
// addressed by digest; the manifest that lists them carries the sign-off.
package bundle
