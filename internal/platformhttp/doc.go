// Package platformhttp is a read-only client of the platform's configuration service.
//
// A value is read at /v1/values/KEY, and the list of instances at /v1/instances. Both
// can be watched: with the query parameter after=REVISION, the service responds when
// the revision exceeds the given one, or with status 304 after wait=SECONDS. The header
// field Platform-Revision holds the revision of a response.
package platformhttp
