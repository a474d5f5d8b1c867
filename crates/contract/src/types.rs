//! Which kinds can be read as which.

use crate::version::Level;
use prost_reflect::{FieldDescriptor, Kind};

/// How a field holds its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holds {
    One,
    Many,
    Map,
}

pub(crate) fn holds(f: &FieldDescriptor) -> Holds {
    match (f.is_map(), f.is_list()) {
        (true, _) => Holds::Map,
        (_, true) => Holds::Many,
        _ => Holds::One,
    }
}

/// Name of a kind as schemas write it.
pub(crate) fn name(kind: &Kind) -> String {
    match kind {
        Kind::Message(m) => m.full_name().to_string(),
        Kind::Enum(e) => e.full_name().to_string(),
        other => format!("{other:?}").to_lowercase(),
    }
}

/// How two kinds get on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fit {
    /// Each value that is written is read as the same one.
    Same,
    /// Not at all, or not each.
    Not,
    /// In binary, but another form in JSON.
    NotInJson,
}

/// Whether each value written as one kind is read as the same by another.
pub(crate) fn fit(written: &Kind, read: &Kind, level: Level) -> Fit {
    use Kind::*;
    let json = |fits| {
        if level == Level::WireAndJson {
            Fit::NotInJson
        } else {
            fits
        }
    };
    match (written, read) {
        (Message(_), Message(_)) | (Enum(_), Enum(_)) => Fit::Same,
        // Widening, where both are varints of the same reading.
        (Int32, Int64) | (Uint32, Uint64) | (Uint32, Int64) | (Sint32, Sint64) => Fit::Same,
        // JSON writes bytes in base64.
        (String, Bytes) => json(Fit::Same),
        (a, b) if std::mem::discriminant(a) == std::mem::discriminant(b) => Fit::Same,
        _ => Fit::Not,
    }
}
