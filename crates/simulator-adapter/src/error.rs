//! Errors in the input from the simulator.

use chalkdeck::api::SettingsError;

/// An invalid line of input, with its line number.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A field of a line does not have the form `name=value`.
    #[error("line {line}: {message_name}: expected name=value, found '{found}'")]
    MalformedField {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the message on the line.
        message_name: String,
        /// The text of the field.
        found: String,
    },
    /// A field is missing or has an invalid value.
    #[error("{}{message_name}: {field}: expected {expected}, found {}", line_prefix(*line), quoted(found))]
    InvalidField {
        /// Number of the line, from 1; 0 if the settings were not read from a line.
        line: u64,
        /// Name of the message on the line.
        message_name: String,
        /// Name of the field.
        field: String,
        /// Description of a valid value.
        expected: &'static str,
        /// The value of the field, or `None` if it is missing.
        found: Option<String>,
    },
    /// The decision engine rejected the settings of a gateway.
    #[error("line {line}: START: settings: {reason}")]
    InvalidSettings {
        /// Number of the line, from 1.
        line: u64,
        /// Why the settings were rejected.
        reason: SettingsError,
    },
    /// A message is outside a batch.
    #[error("line {line}: {message_name}: expected TICK to begin a batch")]
    OutsideBatch {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the message on the line.
        message_name: String,
    },
    /// Another message interrupts an endpoint list of which entries are missing.
    #[error("line {line}: {message_name}: expected ITEM, the list is short")]
    IncompleteList {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the message on the line.
        message_name: String,
    },
    /// An endpoint entry is outside an endpoint list.
    #[error("line {line}: ITEM: expected only inside a FLEET list")]
    ItemOutsideList {
        /// Number of the line, from 1.
        line: u64,
    },
    /// No gateway has been selected for a message.
    #[error("line {line}: {message_name}: expected a FOR line before it")]
    NoCurrentGateway {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the message on the line.
        message_name: String,
    },
    /// The input ends within a batch.
    #[error("line {line}: expected FLUSH before the input's end")]
    UnfinishedBatch {
        /// Number of the last line.
        line: u64,
    },
}

fn line_prefix(line: u64) -> String {
    if line > 0 {
        format!("line {line}: ")
    } else {
        String::new()
    }
}

fn quoted(found: &Option<String>) -> String {
    match found {
        Some(value) => format!("'{value}'"),
        None => "nothing".to_string(),
    }
}
