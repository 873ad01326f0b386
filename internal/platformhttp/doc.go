// Package platformhttp reads the platform's configuration service over HTTP.
//
// A value is read at /v1/values/KEY and the instance list at /v1/instances.
// Either can be watched: with after=REVISION the answer comes once the revision
// is higher, or with status 304 after wait=SECONDS. The header
// Platform-Revision has the revision of an answer. Nothing is ever written.
package platformhttp
