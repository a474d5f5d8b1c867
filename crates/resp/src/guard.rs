//! How far a message reaches, by its lengths alone.

use crate::error::What;

/// Bounds of what is read. A message is at most `message` bytes long, and no more than that is ever held for it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most words of a command, or items of a reply.
    pub words: usize,
    /// The most bytes of one word or item.
    pub word: usize,
    /// The most bytes of a line: a reply without a length.
    pub line: usize,
    /// The most bytes of a message.
    pub message: usize,
    /// Commands may come as a line of words, as typed by hand.
    pub inline: bool,
}

pub(crate) enum Extent {
    Partial,
    Whole(usize),
    Bad(What),
}

/// A line of a number after its mark.
enum Length {
    Partial,
    Of { value: Option<usize>, next: usize },
    Bad,
}

/// The digits of the longest number that is looked at.
const DIGITS: usize = 24;

fn length(bytes: &[u8], at: usize, most: usize) -> Length {
    let rest = &bytes[at..];
    let Some(end) = rest.windows(2).take(DIGITS).position(|w| w == b"\r\n") else {
        let digits = rest.strip_suffix(b"\r").unwrap_or(rest);
        let hopeless = rest.len() > DIGITS
            || !(b"-1".starts_with(digits) || digits.iter().all(u8::is_ascii_digit));
        return if hopeless {
            Length::Bad
        } else {
            Length::Partial
        };
    };
    let (digits, next) = (&rest[..end], at + end + 2);
    if digits == b"-1" {
        return Length::Of { value: None, next };
    }
    let plain = digits.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(digits)
        .ok()
        .filter(|_| plain)
        .and_then(|t| t.parse::<usize>().ok());
    match number.filter(|n| *n <= most) {
        Some(value) => Length::Of {
            value: Some(value),
            next,
        },
        None => Length::Bad,
    }
}

/// A bulk string whose mark was read; null only where it is allowed.
fn bulk(bytes: &[u8], at: usize, bounds: &Bounds, null: bool) -> Extent {
    let end = match length(bytes, at, bounds.word) {
        Length::Of {
            value: Some(value),
            next,
        } => next + value + 2,
        Length::Of { value: None, next } if null => return Extent::Whole(next),
        Length::Partial => return Extent::Partial,
        _ => return Extent::Bad(What::Length("bulk")),
    };
    // As far as the two bytes behind it came, they must be its end.
    let tail = bytes.get(end - 2..bytes.len().min(end)).unwrap_or_default();
    if !b"\r\n".starts_with(tail) {
        return Extent::Bad(What::Tail);
    }
    if bytes.len() < end {
        Extent::Partial
    } else {
        Extent::Whole(end)
    }
}

/// How far a command reaches: an array of strings, each within its bounds.
pub(crate) fn command(bytes: &[u8], bounds: &Bounds) -> Extent {
    let (words, mut at) = match length(bytes, 1, bounds.words) {
        Length::Of {
            value: Some(value),
            next,
        } => (value, next),
        Length::Partial => return Extent::Partial,
        _ => return Extent::Bad(What::Length("multibulk")),
    };
    for _ in 0..words {
        match bytes.get(at) {
            None => return Extent::Partial,
            Some(b'$') => {}
            Some(other) => {
                return Extent::Bad(What::Mark {
                    expected: "'$'",
                    found: *other,
                })
            }
        }
        match bulk(bytes, at + 1, bounds, false) {
            Extent::Whole(end) => at = end,
            other => return other,
        }
        if at > bounds.message {
            return Extent::Bad(What::TooBig("a request"));
        }
    }
    Extent::Whole(at)
}

/// How far a line reaches, with its end.
fn line(bytes: &[u8], at: usize, most: usize) -> Extent {
    let rest = &bytes[at..];
    match rest.iter().take(most + 1).position(|b| *b == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => Extent::Whole(at + end + 1),
        Some(_) => Extent::Bad(What::Line("a line that does not end in CRLF")),
        None if rest.len() > most => Extent::Bad(What::Line("a line without end")),
        None => Extent::Partial,
    }
}

/// How far one reply reaches that is no array.
fn item(bytes: &[u8], at: usize, bounds: &Bounds) -> Extent {
    match bytes.get(at) {
        None => Extent::Partial,
        Some(b'$') => bulk(bytes, at + 1, bounds, true),
        Some(b'+' | b'-' | b':') => line(bytes, at + 1, bounds.line),
        Some(other) => Extent::Bad(What::Mark {
            expected: "a reply",
            found: *other,
        }),
    }
}

/// How far a reply reaches: one item, or an array of items that are no arrays.
pub(crate) fn reply(bytes: &[u8], bounds: &Bounds) -> Extent {
    if bytes.first() != Some(&b'*') {
        return item(bytes, 0, bounds);
    }
    let (items, mut at) = match length(bytes, 1, bounds.words) {
        Length::Of {
            value: Some(value),
            next,
        } => (value, next),
        Length::Of { value: None, next } => return Extent::Whole(next),
        Length::Partial => return Extent::Partial,
        Length::Bad => return Extent::Bad(What::Length("array")),
    };
    for _ in 0..items {
        match item(bytes, at, bounds) {
            Extent::Whole(end) => at = end,
            other => return other,
        }
        if at > bounds.message {
            return Extent::Bad(What::TooBig("a reply"));
        }
    }
    Extent::Whole(at)
}
