//! Whether the witness of an incompatibility shows it.

use crate::agreement::{agree_in_binary, agree_in_json, agree_in_strict_json, reads_the_same};
use chalkdeck_contract::{CompatibilityRule, Direction, Incompatibility, ServiceVersion, Witness};
use prost_reflect::{DynamicMessage, MessageDescriptor, ReflectMessage, Value};

/// The writer's and the reader's type of a message.
pub struct Types {
    pub writer: MessageDescriptor,
    pub reader: MessageDescriptor,
}

/// The types of the only method.
pub fn types_of(old: &ServiceVersion, new: &ServiceVersion, direction: Direction) -> Types {
    let method = |version: &ServiceVersion| version.service.methods().next().expect("the method");
    match direction {
        Direction::Request => Types {
            writer: method(old).input(),
            reader: method(new).input(),
        },
        Direction::Response => Types {
            writer: method(new).output(),
            reader: method(old).output(),
        },
    }
}

/// Whether the witness shows its incompatibility.
pub fn shows(found: &Incompatibility, old: &ServiceVersion, new: &ServiceVersion) -> bool {
    let Witness::Message {
        direction, bytes, ..
    } = &found.witness
    else {
        return true;
    };
    let Types { writer, reader } = types_of(old, new, *direction);
    let written = DynamicMessage::decode(writer, &bytes[..]).expect("its writer reads it");
    let read = DynamicMessage::decode(reader.clone(), &bytes[..]);
    match found.rule {
        // What was written is not seen by its reader, or what was always written is not written any more.
        CompatibilityRule::FieldRemoved | CompatibilityRule::NumberMoved => {
            let is_never_written =
                *direction == Direction::Response && found.rule == CompatibilityRule::FieldRemoved;
            is_never_written
                || read.map_or(true, |read| {
                    has_unknown_fields(&read)
                        || !reads_the_same(&written, &read)
                        || has_other_names(&written, &read)
                })
        }
        // What the new publisher answers, or what was written long ago, means something else to its reader.
        CompatibilityRule::NumberReused => read.map_or(true, |read| {
            !reads_the_same(&written, &read)
                || has_unknown_fields(&read)
                || written.unknown_fields().count() > 0
        }),
        CompatibilityRule::JsonName | CompatibilityRule::JsonForm => {
            !agree_in_strict_json(&written, &reader)
        }
        _ => !agree_in_binary(&written, &reader) || !agree_in_json(&written, &reader),
    }
}

/// Whether something that was written is read under another name.
fn has_other_names(written: &DynamicMessage, read: &DynamicMessage) -> bool {
    written.fields().any(|(field, value)| {
        let Some(read_field) = read.descriptor().get_field(field.number()) else {
            return false;
        };
        field.name() != read_field.name()
            || value_has_other_names(value, &read.get_field(&read_field))
    })
}

fn value_has_other_names(written: &Value, read: &Value) -> bool {
    match (written, read) {
        (Value::Message(a), Value::Message(b)) => has_other_names(a, b),
        (Value::List(a), Value::List(b)) => {
            a.iter().zip(b).any(|(a, b)| value_has_other_names(a, b))
        }
        (Value::Map(a), Value::Map(b)) => a
            .iter()
            .any(|(key, a)| b.get(key).is_some_and(|b| value_has_other_names(a, b))),
        _ => false,
    }
}

fn has_unknown_fields(message: &DynamicMessage) -> bool {
    message.unknown_fields().count() > 0
        || message
            .fields()
            .any(|(_, value)| value_has_unknown_fields(value))
}

fn value_has_unknown_fields(value: &Value) -> bool {
    match value {
        Value::Message(message) => has_unknown_fields(message),
        Value::List(values) => values.iter().any(value_has_unknown_fields),
        Value::Map(entries) => entries.values().any(value_has_unknown_fields),
        _ => false,
    }
}
