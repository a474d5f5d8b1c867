//! What cannot be read on from.

/// Why the bytes of a connection cannot be read any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("Protocol error: {what}")]
#[diagnostic(
    code(chalkdeck::resp::unreadable),
    help("the peer does not speak RESP2 as it is expected here: see what it is and which port it was given")
)]
pub struct Unreadable {
    /// What stood there, or how far it went beyond its bound.
    pub what: What,
}

/// The kinds of bytes that cannot be read on from.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum What {
    /// A length that is no number, is negative where it may not be, or goes beyond its bound.
    #[error("invalid {0} length")]
    Length(&'static str),
    /// A bulk string that is longer than it says.
    #[error("expected CRLF after a bulk string")]
    Tail,
    /// Another mark than the one that has to stand there.
    #[error("expected {expected}, got '{}'", found.escape_ascii())]
    Mark {
        /// What may stand there.
        expected: &'static str,
        /// What does.
        found: u8,
    },
    /// A message beyond its bound.
    #[error("too big {0}")]
    TooBig(&'static str),
    /// A line that has no end within its bound, or ends in something else.
    #[error("{0}")]
    Line(&'static str),
    /// More words than are read.
    #[error("too many words")]
    Words,
    /// Something nested, or of another kind than expected.
    #[error("expected {0}")]
    Shape(&'static str),
}

impl From<What> for Unreadable {
    fn from(what: What) -> Unreadable {
        Unreadable { what }
    }
}
