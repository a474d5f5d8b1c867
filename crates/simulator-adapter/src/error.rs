//! What can be wrong with a line of input.

use chalkdeck::api::SettingsError;

/// A line that cannot be used, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A part of a line is not `name=value`.
    #[error("line {line}: {message}: expected name=value, found '{found}'")]
    Unnamed {
        /// Number of the line, from 1.
        line: u64,
        /// The line's message.
        message: String,
        /// The part.
        found: String,
    },
    /// A field is missing or has a value that cannot be used.
    #[error("{}{message}: {field}: expected {expected}, found {}", line_prefix(*line), quoted(found))]
    Field {
        /// Number of the line, from 1; 0: the settings came in another form than lines.
        line: u64,
        /// The line's message.
        message: String,
        /// Name of the field.
        field: String,
        /// What it should hold.
        expected: &'static str,
        /// What it holds; none: it is missing.
        found: Option<String>,
    },
    /// The settings of an instance make no sense.
    #[error("line {line}: START: settings: {reason}")]
    Settings {
        /// Number of the line, from 1.
        line: u64,
        /// What is wrong with them.
        reason: SettingsError,
    },
    /// A message outside a batch.
    #[error("line {line}: {message}: expected TICK to begin a batch")]
    OutsideBatch {
        /// Number of the line, from 1.
        line: u64,
        /// The line's message.
        message: String,
    },
    /// Another message where an entry of the endpoint list should be.
    #[error("line {line}: {message}: expected ITEM, the list is short")]
    ListIsShort {
        /// Number of the line, from 1.
        line: u64,
        /// The line's message.
        message: String,
    },
    /// An entry without a list.
    #[error("line {line}: ITEM: expected only inside a FLEET list")]
    ItemOutsideList {
        /// Number of the line, from 1.
        line: u64,
    },
    /// A message that no instance was named for.
    #[error("line {line}: {message}: expected a FOR line before it")]
    NoInstance {
        /// Number of the line, from 1.
        line: u64,
        /// The line's message.
        message: String,
    },
    /// The input ended within a batch.
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
