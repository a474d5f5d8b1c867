//! Decides whether a message keeps its meaning when another version reads it, without the rules of the checker.

use prost::Message;
use prost_reflect::{
    Cardinality, DeserializeOptions, DynamicMessage, EnumDescriptor, FieldDescriptor, Kind, MapKey,
    MessageDescriptor, ReflectMessage, Syntax, Value,
};

/// The encoding that a message was read from.
#[derive(Clone, Copy, PartialEq)]
enum Encoding {
    Binary,
    Json,
}

/// A value with the kind that its version declares.
#[derive(Clone, Copy)]
struct TypedValue<'a> {
    value: &'a Value,
    kind: &'a Kind,
}

/// Whether a reader of the binary form reads what was written, and the writer reads it again from what the reader re-encodes.
pub fn is_preserved_in_binary(written: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    let Ok(read) = DynamicMessage::decode(reader.clone(), &written.encode_to_vec()[..]) else {
        return false;
    };
    let Ok(read_back) = DynamicMessage::decode(written.descriptor(), &read.encode_to_vec()[..])
    else {
        return false;
    };
    is_read_as_written(written, &read) && is_read_as_written(written, &read_back)
}

/// Whether a reader of the JSON form that ignores unknown names reads what was written.
pub fn is_preserved_in_json(written: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    let Ok(text) = serde_json::to_string(written) else {
        return true;
    };
    let options = DeserializeOptions::new().deny_unknown_fields(false);
    let mut source = serde_json::Deserializer::from_str(&text);
    let read = DynamicMessage::deserialize_with_options(reader.clone(), &mut source, &options);
    let Ok(read) = read else {
        return false;
    };
    let mut fields = written
        .descriptor()
        .fields()
        .collect::<Vec<_>>()
        .into_iter();
    fields.all(|field| {
        let Some(read_field) = reader.get_field(field.number()) else {
            return true;
        };
        is_absent_message(written, &field)
            || has_same_field_value(written, &field, &read, &read_field, Encoding::Json)
    })
}

/// Whether a reader that rejects unknown names accepts the JSON form and reads what was written.
pub fn is_preserved_in_strict_json(written: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    let text = serde_json::to_string(written).expect("it has a JSON form");
    let mut source = serde_json::Deserializer::from_str(&text);
    DynamicMessage::deserialize(reader.clone(), &mut source).is_ok()
        && is_preserved_in_json(written, reader)
}

/// Whether a message that was read from the binary form has all that its writer wrote and nothing else.
pub fn is_read_as_written(written: &DynamicMessage, read: &DynamicMessage) -> bool {
    is_same_message(written, read, Encoding::Binary)
}

fn is_same_message(written: &DynamicMessage, read: &DynamicMessage, encoding: Encoding) -> bool {
    let (writer, reader) = (written.descriptor(), read.descriptor());
    let are_fields_kept = writer
        .fields()
        .all(|field| match reader.get_field(field.number()) {
            Some(read_field) => is_field_preserved(written, &field, read, &read_field, encoding),
            // The reader, which reserved the number or is the older version, keeps the value among its unknown fields.
            None => {
                encoding == Encoding::Json
                    || !written.has_field(&field)
                    || read
                        .unknown_fields()
                        .any(|unknown| unknown.number() == field.number())
            }
        });
    let has_no_extra_fields = reader
        .fields()
        .all(|field| writer.get_field(field.number()).is_some() || !read.has_field(&field));
    let has_all_required = reader
        .fields()
        .all(|field| field.cardinality() != Cardinality::Required || read.has_field(&field));
    are_fields_kept && has_no_extra_fields && has_all_required
}

fn is_field_preserved(
    written: &DynamicMessage,
    field: &FieldDescriptor,
    read: &DynamicMessage,
    read_field: &FieldDescriptor,
    encoding: Encoding,
) -> bool {
    // An absent message has no content to compare; it only has to stay absent.
    if is_absent_message(written, field) {
        return !read.has_field(read_field);
    }
    let has_presence = is_singular(field) && field.supports_presence() && is_singular(read_field);
    let is_set = written.has_field(field);
    let is_presence_kept = !has_presence
        || is_set == read.has_field(read_field)
        // Without presence, the reader's field counts as set if its value differs from its default.
        || !read_field.supports_presence() && !is_set;
    is_presence_kept
        && field.is_map() == read_field.is_map()
        && has_same_field_value(written, field, read, read_field, encoding)
}

fn is_singular(field: &FieldDescriptor) -> bool {
    !field.is_list() && !field.is_map()
}

fn is_absent_message(written: &DynamicMessage, field: &FieldDescriptor) -> bool {
    is_singular(field) && matches!(field.kind(), Kind::Message(_)) && !written.has_field(field)
}

fn has_same_field_value(
    written: &DynamicMessage,
    field: &FieldDescriptor,
    read: &DynamicMessage,
    read_field: &FieldDescriptor,
    encoding: Encoding,
) -> bool {
    let written = TypedValue {
        value: &written.get_field(field),
        kind: &field.kind(),
    };
    let read = TypedValue {
        value: &read.get_field(read_field),
        kind: &read_field.kind(),
    };
    is_same_value(written, read, encoding)
}

fn is_same_value(written: TypedValue, read: TypedValue, encoding: Encoding) -> bool {
    match (written.value, read.value) {
        (Value::List(a), Value::List(b)) => {
            let is_same_element = |(a, b)| {
                let written = TypedValue {
                    value: a,
                    kind: written.kind,
                };
                let read = TypedValue {
                    value: b,
                    kind: read.kind,
                };
                is_same_value(written, read, encoding)
            };
            a.len() == b.len() && a.iter().zip(b).all(is_same_element)
        }
        (Value::Map(a), Value::Map(b)) => {
            let written_kind = map_value_kind(written.kind);
            let read_kind = map_value_kind(read.kind);
            let is_same_entry = |(key, value): (&MapKey, &Value)| {
                let written = TypedValue {
                    value,
                    kind: &written_kind,
                };
                b.get(key).is_some_and(|value| {
                    let read = TypedValue {
                        value,
                        kind: &read_kind,
                    };
                    is_same_value(written, read, encoding)
                })
            };
            a.len() == b.len() && a.iter().all(is_same_entry)
        }
        (Value::Message(a), Value::Message(b)) => is_same_message(a, b, encoding),
        (Value::EnumNumber(a), Value::EnumNumber(b)) => match (written.kind, read.kind) {
            (Kind::Enum(writer), Kind::Enum(reader)) => {
                a == b && is_same_enum_number(*a, writer, reader)
            }
            _ => false,
        },
        (a, b) => is_same_scalar(a, b),
    }
}

fn map_value_kind(kind: &Kind) -> Kind {
    let entry = kind.as_message().expect("a map entry type");
    entry.map_entry_value_field().kind()
}

/// Whether an enum number has the same meaning in both versions.
fn is_same_enum_number(number: i32, writer: &EnumDescriptor, reader: &EnumDescriptor) -> bool {
    let names = |enum_type: &EnumDescriptor| -> Vec<String> {
        let values = enum_type.values().filter(|value| value.number() == number);
        values.map(|value| value.name().to_string()).collect()
    };
    let (written, read) = (names(writer), names(reader));
    let is_moved = written.iter().any(|name| {
        let value = reader.get_value_by_name(name);
        value.is_some_and(|value| value.number() != number)
    });
    if is_moved {
        return false;
    }
    if read.is_empty() {
        // The reader of a closed enum does not keep numbers that it does not know.
        return reader.parent_file().syntax() != Syntax::Proto2;
    }
    written.iter().any(|name| read.contains(name))
}

fn is_same_scalar(written: &Value, read: &Value) -> bool {
    match (written, read) {
        (Value::String(a), Value::Bytes(b)) => a.as_bytes() == &b[..],
        (Value::F32(a), Value::F32(b)) => a.to_bits() == b.to_bits(),
        (Value::F64(a), Value::F64(b)) => a.to_bits() == b.to_bits(),
        (a, b) => match (as_integer(a), as_integer(b)) {
            (Some(a), Some(b)) => a == b,
            _ => a == b,
        },
    }
}

fn as_integer(value: &Value) -> Option<i128> {
    match value {
        Value::I32(number) => Some((*number).into()),
        Value::I64(number) => Some((*number).into()),
        Value::U32(number) => Some((*number).into()),
        Value::U64(number) => Some((*number).into()),
        _ => None,
    }
}
