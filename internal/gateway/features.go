package gateway

// Features selects the optional behaviour that a deployment calls for; the zero value selects none.
type Features struct {
	Evacuations       bool // Operators may evacuate the endpoints of a data centre.
	RefuseConnections bool // An overloaded router refuses new connections, so that callers that keep to it move to others.
}
