use quick_error::quick_error;

quick_error! {
    /// What went wrong with a call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum ErrorKind {
        /// The request time passed; `sent` is false if the request never left the process.
        Timeout { sent: bool } {
            display("no answer within the request time")
        }
        /// No connection could be made.
        Unreachable(reason: String) {
            display("no connection: {reason}")
        }
        /// The connection broke after the request may have been sent.
        ConnectionLost(reason: String) {
            display("connection lost: {reason}")
        }
        /// The callee answered with an error status.
        Refused { status: u16, body: String } {
            display("refused with status {status}: {body}")
        }
        /// The answer is not what the protocol says.
        InvalidResponse(reason: String) {
            display("unexpected answer: {reason}")
        }
    }
}
