use quick_error::quick_error;

quick_error! {
    /// Cause of a failed call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum ErrorKind {
        /// The request timed out; `sent` is false if it was never sent.
        Timeout { sent: bool } {
            display("no response within the request timeout")
        }
        /// No connection could be made.
        Unreachable(reason: String) {
            display("connection failed: {reason}")
        }
        /// The gate of the transport refused the new connection, so that nothing was sent.
        NotAdmitted {
            display("the connection was not admitted")
        }
        /// The connection broke after the request may have been sent.
        ConnectionLost(reason: String) {
            display("connection lost: {reason}")
        }
        /// The server responded with an error status.
        Refused { status: u16, body: String } {
            display("refused with status {status}: {body}")
        }
        /// The response violates the protocol.
        InvalidResponse(reason: String) {
            display("invalid response: {reason}")
        }
    }
}
