package operator

// message is the JSON body of a response with a text for the operator.
type message struct {
	Message string `json:"message"`
}
