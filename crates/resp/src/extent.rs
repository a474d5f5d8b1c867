//! Where a message ends, found from its lengths alone.

use crate::error::ProtocolErrorKind;
use crate::limits::MessageLimits;

/// How far the message at the start of a buffer extends.
pub(crate) enum Extent {
    /// Not all of it has been received.
    Incomplete,
    /// It ends before this offset.
    Complete(usize),
    /// It breaks the protocol or a limit.
    Invalid(ProtocolErrorKind),
}

/// The length that follows a type byte.
enum Length {
    Incomplete,
    /// No value: the length of null.
    Parsed {
        value: Option<usize>,
        next: usize,
    },
    Invalid,
}

/// The digits of the longest number that is parsed.
const MAX_DIGITS: usize = 24;

fn parse_length(bytes: &[u8], start: usize, max: usize) -> Length {
    let rest = &bytes[start..];
    let line_end = rest
        .windows(2)
        .take(MAX_DIGITS)
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

/// Whether a line without an end may still turn out to be a length.
fn may_become_length(rest: &[u8]) -> bool {
    let digits = rest.strip_suffix(b"\r").unwrap_or(rest);
    rest.len() <= MAX_DIGITS && (b"-1".starts_with(digits) || digits.iter().all(u8::is_ascii_digit))
}

/// The extent of a bulk string whose type byte stands before `start`.
fn bulk_extent(bytes: &[u8], start: usize, limits: &MessageLimits, accepts_null: bool) -> Extent {
    let end = match parse_length(bytes, start, limits.max_element_bytes) {
        Length::Parsed {
            value: Some(value),
            next,
        } => next + value + 2,
        Length::Parsed { value: None, next } if accepts_null => return Extent::Complete(next),
        Length::Incomplete => return Extent::Incomplete,
        _ => return Extent::Invalid(ProtocolErrorKind::InvalidLength("bulk")),
    };
    // As far as the two bytes behind it were received, they have to be CRLF.
    let tail = bytes.get(end - 2..bytes.len().min(end)).unwrap_or_default();
    if !b"\r\n".starts_with(tail) {
        return Extent::Invalid(ProtocolErrorKind::MissingCrlf);
    }
    if bytes.len() < end {
        Extent::Incomplete
    } else {
        Extent::Complete(end)
    }
}

/// The extent of a line whose type byte stands before `start`.
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
        None => Extent::Incomplete,
    }
}

/// The extent of a word of a command.
fn word_extent(bytes: &[u8], start: usize, limits: &MessageLimits) -> Extent {
    match bytes.get(start) {
        None => Extent::Incomplete,
        Some(b'$') => bulk_extent(bytes, start + 1, limits, false),
        Some(other) => Extent::Invalid(ProtocolErrorKind::UnexpectedByte {
            expected: "'$'",
            found: *other,
        }),
    }
}

/// The extent of a reply that is not an array.
fn item_extent(bytes: &[u8], start: usize, limits: &MessageLimits) -> Extent {
    match bytes.get(start) {
        None => Extent::Incomplete,
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
        Length::Incomplete => return Extent::Incomplete,
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

/// The extent of a reply: one item, or an array of items that are no arrays.
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
        Length::Incomplete => return Extent::Incomplete,
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
