//! Protocol errors. Their texts are sent to clients, so they are part of the wire format.

/// Why a connection cannot be decoded any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("Protocol error: {kind}")]
#[diagnostic(
    code(chalkdeck::resp::unreadable),
    help("the peer does not speak RESP2 as it is expected here: see what it is and which port it was given")
)]
pub struct ProtocolError {
    /// What is wrong.
    pub kind: ProtocolErrorKind,
}

/// The kinds of protocol errors.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolErrorKind {
    /// A length that is not a number, is negative where it must not be, or exceeds its limit.
    #[error("invalid {0} length")]
    InvalidLength(&'static str),
    /// A bulk string that is longer than its stated length.
    #[error("expected CRLF after a bulk string")]
    MissingCrlf,
    /// A type byte that the protocol does not allow at this position.
    #[error("expected {expected}, got '{}'", found.escape_ascii())]
    UnexpectedByte {
        /// The type bytes that are allowed.
        expected: &'static str,
        /// The byte that was received.
        found: u8,
    },
    /// A message that exceeds its limit.
    #[error("too big {0}")]
    TooLarge(&'static str),
    /// A line that exceeds its limit or does not end in CRLF.
    #[error("{0}")]
    InvalidLine(&'static str),
    /// More words than the limit allows.
    #[error("too many words")]
    TooManyWords,
    /// A message that is nested or of an unexpected type.
    #[error("expected {0}")]
    UnexpectedShape(&'static str),
}

impl From<ProtocolErrorKind> for ProtocolError {
    fn from(kind: ProtocolErrorKind) -> ProtocolError {
        ProtocolError { kind }
    }
}
