//! Finds where a message ends from the lengths it states, without decoding it.

use crate::error::ProtocolErrorKind;
use crate::limits::MessageLimits;

/// The extent of the message, or of a part of it, in the receive buffer.
pub(crate) enum Extent {
    /// Only a part of it has been received. It ends at this offset at the earliest, by the lengths that have been received.
    Incomplete(usize),
    /// The offset of the first byte after it.
    Complete(usize),
    /// It violates the protocol or exceeds a limit.
    Invalid(ProtocolErrorKind),
}

/// The result of parsing the length that follows a type byte.
enum Length {
    Incomplete,
    /// `value` is `None` for the length -1, which denotes null; `next` is the offset after the length's CRLF.
    Parsed {
        value: Option<usize>,
        next: usize,
    },
    Invalid,
}

/// The number of characters within which a length must end; no valid length has as many.
const MAX_LENGTH_CHARS: usize = 24;

fn parse_length(bytes: &[u8], start: usize, max: usize) -> Length {
    let rest = &bytes[start..];
    let line_end = rest
        .windows(2)
        .take(MAX_LENGTH_CHARS)
        .position(|pair| pair == b"\r\n");
    let Some(end) = line_end else {
        return if may_become_length(rest) {
            Length::Incomplete
        } else {
            Length::Invalid
        };
    };
    let (digits, next) = (&rest[..end], start + end + 2);
    if digits == b"-1" {
        return Length::Parsed { value: None, next };
    }
    let has_digits_only = digits.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(digits)
        .ok()
        .filter(|_| has_digits_only)
        .and_then(|text| text.parse::<usize>().ok());
    match number.filter(|number| *number <= max) {
        Some(value) => Length::Parsed {
            value: Some(value),
            next,
        },
        None => Length::Invalid,
    }
}

/// Whether a line that has no CRLF yet may still become a valid length.
fn may_become_length(rest: &[u8]) -> bool {
    let digits = rest.strip_suffix(b"\r").unwrap_or(rest);
    rest.len() <= MAX_LENGTH_CHARS
        && (b"-1".starts_with(digits) || digits.iter().all(u8::is_ascii_digit))
}

/// The extent of a bulk string whose type byte precedes `start`.
fn bulk_extent(bytes: &[u8], start: usize, limits: &MessageLimits, accepts_null: bool) -> Extent {
    let end = match parse_length(bytes, start, limits.max_element_bytes) {
        Length::Parsed {
            value: Some(value),
            next,
        } => next + value + 2,
        Length::Parsed { value: None, next } if accepts_null => return Extent::Complete(next),
        Length::Incomplete => return Extent::Incomplete(bytes.len() + 1),
        _ => return Extent::Invalid(ProtocolErrorKind::InvalidLength("bulk")),
    };
    // The string must be followed by CRLF, as far as those two bytes have been received.
    let terminator = bytes.get(end - 2..bytes.len().min(end)).unwrap_or_default();
    if !b"\r\n".starts_with(terminator) {
        return Extent::Invalid(ProtocolErrorKind::MissingCrlf);
    }
    if bytes.len() < end {
        Extent::Incomplete(end)
    } else {
        Extent::Complete(end)
    }
}

/// The extent of a line whose type byte precedes `start`.
fn line_extent(bytes: &[u8], start: usize, max: usize) -> Extent {
    let rest = &bytes[start..];
    match rest.iter().take(max + 1).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => Extent::Complete(start + end + 1),
        Some(_) => Extent::Invalid(ProtocolErrorKind::InvalidLine(
            "a line that does not end in CRLF",
        )),
        None if rest.len() > max => {
            Extent::Invalid(ProtocolErrorKind::InvalidLine("a line without end"))
        }
        None => Extent::Incomplete(bytes.len() + 1),
    }
}

/// The extent of a word of a command.
fn word_extent(bytes: &[u8], start: usize, limits: &MessageLimits) -> Extent {
    match bytes.get(start) {
        None => Extent::Incomplete(bytes.len() + 1),
        Some(b'$') => bulk_extent(bytes, start + 1, limits, false),
        Some(other) => Extent::Invalid(ProtocolErrorKind::UnexpectedByte {
            expected: "'$'",
            found: *other,
        }),
    }
}

/// The extent of a reply that is not an array, or of an item of one that is.
fn item_extent(bytes: &[u8], start: usize, limits: &MessageLimits) -> Extent {
    match bytes.get(start) {
        None => Extent::Incomplete(bytes.len() + 1),
        Some(b'$') => bulk_extent(bytes, start + 1, limits, true),
        Some(b'+' | b'-' | b':') => line_extent(bytes, start + 1, limits.max_line_bytes),
        Some(other) => Extent::Invalid(ProtocolErrorKind::UnexpectedByte {
            expected: "a reply",
            found: *other,
        }),
    }
}

/// The extent of a command: an array of bulk strings.
pub(crate) fn command_extent(bytes: &[u8], limits: &MessageLimits) -> Extent {
    let (count, mut end) = match parse_length(bytes, 1, limits.max_elements) {
        Length::Parsed {
            value: Some(value),
            next,
        } => (value, next),
        Length::Incomplete => return Extent::Incomplete(bytes.len() + 1),
        _ => return Extent::Invalid(ProtocolErrorKind::InvalidLength("multibulk")),
    };
    for _ in 0..count {
        match word_extent(bytes, end, limits) {
            Extent::Complete(word_end) => end = word_end,
            other => return other,
        }
        if end > limits.max_message_bytes {
            return Extent::Invalid(ProtocolErrorKind::TooLarge("a request"));
        }
    }
    Extent::Complete(end)
}

/// The extent of a reply: one item, or an array of items that are not arrays themselves.
pub(crate) fn reply_extent(bytes: &[u8], limits: &MessageLimits) -> Extent {
    if bytes.first() != Some(&b'*') {
        return item_extent(bytes, 0, limits);
    }
    let (count, mut end) = match parse_length(bytes, 1, limits.max_elements) {
        Length::Parsed {
            value: Some(value),
            next,
        } => (value, next),
        Length::Parsed { value: None, next } => return Extent::Complete(next),
        Length::Incomplete => return Extent::Incomplete(bytes.len() + 1),
        Length::Invalid => return Extent::Invalid(ProtocolErrorKind::InvalidLength("array")),
    };
    for _ in 0..count {
        match item_extent(bytes, end, limits) {
            Extent::Complete(item_end) => end = item_end,
            other => return other,
        }
        if end > limits.max_message_bytes {
            return Extent::Invalid(ProtocolErrorKind::TooLarge("a reply"));
        }
    }
    Extent::Complete(end)
}
