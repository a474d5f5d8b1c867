//! Checks that the witness of an incompatibility shows it.

use crate::preservation::{
    is_preserved_in_binary, is_preserved_in_json, is_preserved_in_strict_json, is_read_as_written,
};
use chalkdeck_contract::{CompatibilityRule, Direction, Incompatibility, ServiceVersion, Witness};
use prost_reflect::{DynamicMessage, MessageDescriptor, ReflectMessage, Value};

/// The type of a message in the writer's version and in the reader's.
pub struct Types {
    pub writer: MessageDescriptor,
    pub reader: MessageDescriptor,
}

/// The types of the only method's request or response.
pub fn types_of(old: &ServiceVersion, new: &ServiceVersion, direction: Direction) -> Types {
    let method = |version: &ServiceVersion| version.service.methods().next().expect("a method");
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

/// Whether the witness of an incompatibility shows it.
pub fn is_shown_by_witness(
    incompatibility: &Incompatibility,
    old: &ServiceVersion,
    new: &ServiceVersion,
) -> bool {
    let Witness::Message {
        direction, bytes, ..
    } = &incompatibility.witness
    else {
        return true;
    };
    let Types { writer, reader } = types_of(old, new, *direction);
    let written =
        DynamicMessage::decode(writer, &bytes[..]).expect("the writer decodes its own message");
    let read = DynamicMessage::decode(reader.clone(), &bytes[..]);
    match incompatibility.rule {
        // The reader does not find what was written, or the writer no longer writes a field.
        CompatibilityRule::FieldRemoved | CompatibilityRule::NumberMoved => {
            let is_no_longer_written = *direction == Direction::Response
                && incompatibility.rule == CompatibilityRule::FieldRemoved;
            is_no_longer_written
                || read.map_or(true, |read| {
                    has_unknown_fields(&read)
                        || !is_read_as_written(&written, &read)
                        || has_other_names(&written, &read)
                })
        }
        // The reader gives another meaning to what the new publisher writes or an earlier version wrote under the reserved number.
        CompatibilityRule::NumberReused => read.map_or(true, |read| {
            !is_read_as_written(&written, &read)
                || has_unknown_fields(&read)
                || written.unknown_fields().count() > 0
        }),
        CompatibilityRule::JsonName | CompatibilityRule::JsonForm => {
            !is_preserved_in_strict_json(&written, &reader)
        }
        _ => !is_preserved_in_binary(&written, &reader) || !is_preserved_in_json(&written, &reader),
    }
}

/// Whether a field that was written is read under another name.
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
