// Package standin implements fakes of the platform and the endpoints, for tests and the dev command.
//
// Each is an HTTP server whose faults are set by a PUT to /Faults. A fake
// covers only the published protocol of the real service; nothing else about
// the real service can be inferred from it.
package standin
