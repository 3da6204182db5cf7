package serv

// Behavior is how a server handles one request.
type Behavior int

// The behaviors of a server.
const (
	// Good runs the request and responds to it.
	Good Behavior = iota
	// Full rejects the request with 503 and marks it as not executed.
	Full
	// Fail runs the request and responds with 500.
	Fail
	// DropResponse runs the request and closes the connection without a response.
	DropResponse
	// Truncate runs the request and closes the connection in the middle of the response. In a stream, it does so in the middle of an event.
	Truncate
	// TruncateHead runs the request and closes the connection after the head of the response.
	TruncateHead
	// Reset runs the request and resets the connection in the middle of the response. In a stream, it does so between two events.
	Reset
	// OtherRequestID responds with the ID of another request, and NoStamp without the server's stamp.
	OtherRequestID
	NoStamp
	// Hang runs the request and never responds.
	Hang
	// RejectAtDeadline lets the request wait until its deadline, and then states that it has not run. Runs counts it all the same.
	RejectAtDeadline
	// StatusZero responds with the status 000, and BlankInName in chunks that a field with a blank behind its name announces. Both are no responses.
	StatusZero
	BlankInName
	// RespondTwice sends a second response directly after the first.
	RespondTwice
	// Crash starts to run the request, then closes the server with all its connections.
	Crash
	// CrashAfterHead starts to run the request, sends the head of the response, and then closes the server with all its connections.
	CrashAfterHead
	// Exit runs the request and ends like a killed process in the middle of the response, in a stream between two events: the kernel closes the listener and all connections in order. ExitAfterResponse does so after the whole response.
	Exit
	ExitAfterResponse
	// EndlessHead sends header lines, EndlessLine one header line, EndlessBody a chunked body and EndlessEvent one event of a stream, each without an end until the client closes the connection.
	EndlessHead
	EndlessLine
	EndlessBody
	EndlessEvent
)
