//! Kinds of values: how a field holds them, and whether one kind can be read as another.

use crate::CompatibilityLevel;
use prost_reflect::{FieldDescriptor, Kind};
use std::fmt;

/// How many values a field holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Multiplicity {
    Single,
    Repeated,
    Map,
}

/// As publishers read it; part of the wire format.
impl fmt::Display for Multiplicity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Multiplicity::Single => "one",
            Multiplicity::Repeated => "many",
            Multiplicity::Map => "map",
        })
    }
}

pub(crate) fn multiplicity(field: &FieldDescriptor) -> Multiplicity {
    if field.is_map() {
        Multiplicity::Map
    } else if field.is_list() {
        Multiplicity::Repeated
    } else {
        Multiplicity::Single
    }
}

/// The name of a kind as schemas write it.
pub(crate) fn kind_name(kind: &Kind) -> String {
    match kind {
        Kind::Message(message) => message.full_name().to_string(),
        Kind::Enum(of) => of.full_name().to_string(),
        scalar => format!("{scalar:?}").to_lowercase(),
    }
}

/// Whether values that are written as one kind are read as the same values of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readability {
    /// All of them are.
    Same,
    /// All are in the binary form, but not in JSON.
    OnlyInBinary,
    /// Some are not.
    Different,
}

pub(crate) fn readability(written: &Kind, read: &Kind, level: CompatibilityLevel) -> Readability {
    match (written, read) {
        (Kind::Message(_), Kind::Message(_)) | (Kind::Enum(_), Kind::Enum(_)) => Readability::Same,
        // Wider integers of the same encoding.
        (Kind::Int32 | Kind::Uint32, Kind::Int64)
        | (Kind::Uint32, Kind::Uint64)
        | (Kind::Sint32, Kind::Sint64) => Readability::Same,
        // JSON has bytes in base64.
        (Kind::String, Kind::Bytes) if level == CompatibilityLevel::WireAndJson => {
            Readability::OnlyInBinary
        }
        (Kind::String, Kind::Bytes) => Readability::Same,
        (a, b) if std::mem::discriminant(a) == std::mem::discriminant(b) => Readability::Same,
        _ => Readability::Different,
    }
}
