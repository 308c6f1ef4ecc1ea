// Package keyvalue is the router's view of what the platform gives: the key-value store and the list of VMs.
//
// Store is the narrow interface that the deciders' actions are carried out
// against: one decision a call, every call counted by the store. A conditional
// write has one of three outcomes, and no layer below the deciders repeats it,
// because a repeated conditional write turns its own success into a conflict.
// Memory keeps everything in one process; the platform's adapter speaks the
// protocol of the platform's store; Guarded limits and spares another Store.
package keyvalue
