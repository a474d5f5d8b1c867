//! Errors of commands. Their texts are sent to clients, so they are part of the wire format.

/// Why a command is rejected as invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error, miette::Diagnostic)]
#[diagnostic(help(
    "the client's command is at fault and was not run: the client has to be mended"
))]
pub enum RequestError {
    /// Too few or too many words.
    #[error("wrong number of arguments")]
    #[diagnostic(code(chalkdeck::request::arguments))]
    ArgumentCount,
    /// A command that the platform does not define.
    #[error("unknown command")]
    #[diagnostic(code(chalkdeck::request::unknown))]
    UnknownCommand,
    /// A customer that is not a valid number.
    #[error("customer: expected 16 hex digits below 2^33")]
    #[diagnostic(code(chalkdeck::request::customer))]
    Customer,
    /// An id that is empty, too long or not printable.
    #[error("id: expected 1 to {MAX_ID_BYTES} letters or digits")]
    #[diagnostic(code(chalkdeck::request::id))]
    Id,
    /// The id of another open request.
    #[error("id: expected one that no open request has")]
    #[diagnostic(code(chalkdeck::request::id_taken))]
    DuplicateId,
    /// A list of fields that is not valid UTF-8.
    #[error("expected names and values")]
    #[diagnostic(code(chalkdeck::request::list))]
    FieldList,
    /// A field without a value.
    #[error("expected name=value, found '{}'", .0.escape_debug())]
    #[diagnostic(code(chalkdeck::request::pair))]
    Field(String),
    /// A field that is given twice.
    #[error("{0}: expected once")]
    #[diagnostic(code(chalkdeck::request::twice))]
    DuplicateField(&'static str),
    /// A class that the settings do not have.
    #[error("c: expected a class of the settings")]
    #[diagnostic(code(chalkdeck::request::class))]
    Class,
    /// A plan that the settings do not have.
    #[error("t: expected a plan of the settings")]
    #[diagnostic(code(chalkdeck::request::plan))]
    Plan,
    /// A verb that the class does not allow.
    #[error("expected API.READ for a class that is safe to repeat, API.WRITE for others")]
    #[diagnostic(code(chalkdeck::request::verb))]
    Verb,
    /// A keyed class without an idempotency key.
    #[error("k: expected a key in a keyed class")]
    #[diagnostic(code(chalkdeck::request::key))]
    IdempotencyKey,
    /// A missing time-out.
    #[error("d: expected milliseconds")]
    #[diagnostic(code(chalkdeck::request::time))]
    Timeout,
    /// A number that cannot be parsed or is out of range.
    #[error("{name}: expected a whole number from {min} to {max}")]
    #[diagnostic(code(chalkdeck::request::number))]
    Number {
        /// The name of the field.
        name: &'static str,
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// Units that cannot be parsed or are out of range; the value is the maximum.
    #[error("units: expected above 0, at most {0}")]
    #[diagnostic(code(chalkdeck::request::units))]
    Units(f64),
    /// A retry flag that is neither 0 nor 1.
    #[error("r: expected 1")]
    #[diagnostic(code(chalkdeck::request::retry))]
    Retry,
}

/// The maximum length of an id.
pub(super) const MAX_ID_BYTES: usize = 64;
