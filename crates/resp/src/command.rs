//! Decodes the commands that a server receives.

use crate::error::{ProtocolError, ProtocolErrorKind};
use crate::extent::{command_extent, Extent};
use crate::limits::MessageLimits;
use crate::Frame;
use bytes::{Bytes, BytesMut};
use redis_protocol::resp2;

/// The result of decoding a command at the start of the receive buffer.
#[derive(Debug, PartialEq)]
pub enum ParsedCommand {
    /// The command is not complete yet, or the buffer is empty.
    Incomplete,
    /// The words of the command: its name and its arguments.
    Complete(Vec<Bytes>),
    /// A protocol error; the connection cannot be decoded any further.
    Invalid(ProtocolError),
}

impl From<ProtocolErrorKind> for ParsedCommand {
    fn from(kind: ProtocolErrorKind) -> ParsedCommand {
        ParsedCommand::Invalid(kind.into())
    }
}

/// Decodes the next command and removes it from the buffer. Empty arrays are skipped, as are empty lines where inline commands are
/// accepted.
pub fn take_command(buffer: &mut BytesMut, limits: &MessageLimits) -> ParsedCommand {
    while let Some(first) = buffer.first().copied() {
        let parsed = match first {
            b'*' => take_array(buffer, limits),
            _ if limits.accepts_inline => take_inline(buffer, limits),
            found => ParsedCommand::from(ProtocolErrorKind::UnexpectedByte {
                expected: "'*'",
                found,
            }),
        };
        let is_empty = matches!(&parsed, ParsedCommand::Complete(words) if words.is_empty());
        if !is_empty {
            return parsed;
        }
    }
    ParsedCommand::Incomplete
}

/// Decodes a command that is an array of bulk strings.
fn take_array(buffer: &mut BytesMut, limits: &MessageLimits) -> ParsedCommand {
    let end = match command_extent(buffer, limits) {
        Extent::Incomplete if buffer.len() > limits.max_message_bytes => {
            return ProtocolErrorKind::TooLarge("a request").into()
        }
        Extent::Incomplete => return ParsedCommand::Incomplete,
        Extent::Invalid(kind) => return kind.into(),
        Extent::Complete(end) => end,
    };
    match resp2::decode::decode_bytes(&buffer.split_to(end).freeze()) {
        Ok(Some((Frame::Array(words), _))) => {
            ParsedCommand::Complete(words.into_iter().map(bulk_string_bytes).collect())
        }
        _ => ProtocolErrorKind::UnexpectedShape("an array of bulk strings").into(),
    }
}

fn bulk_string_bytes(frame: Frame) -> Bytes {
    match frame {
        Frame::BulkString(bytes) => bytes,
        // Unreachable: `command_extent` accepts bulk strings only.
        _ => Bytes::new(),
    }
}

/// Decodes an inline command: a line of words separated by whitespace.
fn take_inline(buffer: &mut BytesMut, limits: &MessageLimits) -> ParsedCommand {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > limits.max_element_bytes {
            ProtocolErrorKind::TooLarge("inline request").into()
        } else {
            ParsedCommand::Incomplete
        };
    };
    let line = buffer.split_to(end + 1).freeze();
    let words: Vec<Bytes> = line
        .split(u8::is_ascii_whitespace)
        .filter(|word| !word.is_empty())
        .take(limits.max_elements + 1)
        .map(|word| line.slice_ref(word))
        .collect();
    if words.len() > limits.max_elements {
        return ProtocolErrorKind::TooManyWords.into();
    }
    ParsedCommand::Complete(words)
}
