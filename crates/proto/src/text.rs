//! Reads and writes messages in the protobuf text format.

use miette::Diagnostic;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::sync::OnceLock;

/// The text is not a valid message of the expected type.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct TextError {
    /// Line in the text, counted from 1.
    pub line: usize,
    /// What is wrong there.
    pub message: String,
}

fn pool() -> &'static DescriptorPool {
    static POOL: OnceLock<DescriptorPool> = OnceLock::new();
    POOL.get_or_init(|| {
        DescriptorPool::decode(crate::DESCRIPTORS)
            .expect("the build script writes valid descriptors")
    })
}

/// Parses a message in text format. `full_name` is the name of the message type with its package.
///
/// # Errors
///
/// The text has a syntax error, or a field or value that the message type does not have.
pub fn parse<M: Message + Default>(full_name: &str, text: &str) -> Result<M, TextError> {
    let error_at_start = |message: String| TextError { line: 1, message };
    let descriptor = pool().get_message_by_name(full_name).ok_or_else(|| {
        error_at_start(format!(
            "'{full_name}' is not a message type of this program"
        ))
    })?;
    let dynamic =
        DynamicMessage::parse_text_format(descriptor, text).map_err(|e| with_line(text, &e))?;
    dynamic
        .transcode_to()
        .map_err(|e| error_at_start(e.to_string()))
}

/// Formats a message in text format, one field per line. `None` if `full_name` is not a known message type or does not match
/// the message.
pub fn print<M: Message>(full_name: &str, message: &M) -> Option<String> {
    let descriptor = pool().get_message_by_name(full_name)?;
    let mut dynamic = DynamicMessage::new(descriptor);
    dynamic.transcode_from(message).ok()?;
    let options = prost_reflect::text_format::FormatOptions::new().pretty(true);
    Some(dynamic.to_text_format_with_options(&options))
}

/// Converts the byte offset that the parser reports into a line number.
fn with_line(text: &str, error: &prost_reflect::text_format::ParseError) -> TextError {
    let offset = error
        .labels()
        .and_then(|mut labels| labels.next())
        .map_or(0, |label| label.offset());
    let line = text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1;
    TextError {
        line,
        message: error.to_string(),
    }
}

#[cfg(test)]
mod tests;
