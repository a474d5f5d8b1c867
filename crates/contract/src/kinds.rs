//! The multiplicity of a field, and whether values of one kind can be read as another kind.

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

/// The text in reports to publishers; part of the wire format.
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

/// The name of a kind as it is written in a schema.
pub(crate) fn kind_name(kind: &Kind) -> String {
    match kind {
        Kind::Message(message) => message.full_name().to_string(),
        Kind::Enum(enum_type) => enum_type.full_name().to_string(),
        scalar => format!("{scalar:?}").to_lowercase(),
    }
}

/// Whether values that are written as one kind are read as the same values of another kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KindCompatibility {
    /// All values are read as the same values.
    Full,
    /// All values are read as the same values from the binary form, but not from JSON.
    BinaryOnly,
    /// Some values are read as other values or cannot be read.
    Incompatible,
}

pub(crate) fn kind_compatibility(
    written: &Kind,
    read: &Kind,
    level: CompatibilityLevel,
) -> KindCompatibility {
    match (written, read) {
        (Kind::Message(_), Kind::Message(_)) | (Kind::Enum(_), Kind::Enum(_)) => {
            KindCompatibility::Full
        }
        // The reader's integer type is wider and has the same encoding.
        (Kind::Int32 | Kind::Uint32, Kind::Int64)
        | (Kind::Uint32, Kind::Uint64)
        | (Kind::Sint32, Kind::Sint64) => KindCompatibility::Full,
        // JSON encodes bytes in base64, but a string as plain text.
        (Kind::String, Kind::Bytes) if level == CompatibilityLevel::WireAndJson => {
            KindCompatibility::BinaryOnly
        }
        (Kind::String, Kind::Bytes) => KindCompatibility::Full,
        (a, b) if std::mem::discriminant(a) == std::mem::discriminant(b) => KindCompatibility::Full,
        _ => KindCompatibility::Incompatible,
    }
}
