//! Decodes the commands that a server receives.

use crate::error::{ProtocolError, ProtocolErrorKind};
use crate::extent::{command_extent, Extent};
use crate::limits::MessageLimits;
use crate::Frame;
use bytes::{Buf, Bytes, BytesMut};
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

/// How much of the first command a receive buffer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandSize {
    /// The command is not complete. It has at least this number of bytes, by the lengths that have been received.
    AtLeast(usize),
    /// The command is complete, or a protocol error shows that it never will be. It has this number of bytes, if it is complete.
    Known(usize),
}

/// The size of the command at the start of the receive buffer, an array of bulk strings.
pub fn command_size(buffer: &[u8], limits: &MessageLimits) -> CommandSize {
    match buffer.first() {
        None => CommandSize::AtLeast(1),
        Some(b'*') => match command_extent(buffer, limits) {
            Extent::Incomplete(_) if buffer.len() > limits.max_message_bytes => {
                CommandSize::Known(buffer.len())
            }
            Extent::Incomplete(size) => CommandSize::AtLeast(size),
            Extent::Complete(end) => CommandSize::Known(end),
            Extent::Invalid(_) => CommandSize::Known(0),
        },
        Some(_) => CommandSize::Known(0),
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
        Extent::Incomplete(_) if buffer.len() > limits.max_message_bytes => {
            return ProtocolErrorKind::TooLarge("a request").into()
        }
        Extent::Incomplete(_) => return ParsedCommand::Incomplete,
        Extent::Invalid(kind) => return kind.into(),
        Extent::Complete(end) => end,
    };
    // The words share an allocation of their own, so that a small command that is kept does not keep the whole buffer.
    let command = Bytes::copy_from_slice(&buffer[..end]);
    buffer.advance(end);
    match resp2::decode::decode_bytes(&command) {
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
