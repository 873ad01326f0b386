// Package bundle parses, validates, splits and signs the configuration bundles
// that operators write, and decodes the parts that daemons receive.
//
// The text form is YAML that follows the schema message Bundle. To be stored on
// the platform, a bundle is split into parts by a hash of each entry's name.
// A change of one entry thus changes one part only, and every value stays well
// below the platform's limit of 1 MiB. Parts are addressed by digest; the
// manifest that lists them carries the signature.
package bundle
