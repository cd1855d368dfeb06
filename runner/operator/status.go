package operator

// message is the body of a response that consists of one text.
type message struct {
	Message string `json:"message"`
}
