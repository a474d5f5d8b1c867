//! Whether a message means the same to its writer and its reader, without the rules of the checker.

use prost::Message;
use prost_reflect::{
    Cardinality, DeserializeOptions, DynamicMessage, EnumDescriptor, FieldDescriptor, Kind, MapKey,
    MessageDescriptor, ReflectMessage, Syntax, Value,
};

/// The form that a message was read from.
#[derive(Clone, Copy, PartialEq)]
enum Form {
    Binary,
    Json,
}

/// A value with the kind that its version declares.
#[derive(Clone, Copy)]
struct Typed<'a> {
    value: &'a Value,
    kind: &'a Kind,
}

/// Whether the binary form means the same to a reader, also after the reader wrote it again and the writer read that.
pub fn agree_in_binary(written: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    let Ok(read) = DynamicMessage::decode(reader.clone(), &written.encode_to_vec()[..]) else {
        return false;
    };
    let Ok(back) = DynamicMessage::decode(written.descriptor(), &read.encode_to_vec()[..]) else {
        return false;
    };
    reads_the_same(written, &read) && reads_the_same(written, &back)
}

/// Whether the JSON form means the same to a reader that ignores unknown names.
pub fn agree_in_json(written: &DynamicMessage, reader: &MessageDescriptor) -> bool {
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
            || is_same_field(written, &field, &read, &read_field, Form::Json)
    })
}

/// Whether a reader that rejects unknown names takes the JSON form, and it means the same.
pub fn agree_in_strict_json(written: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    let text = serde_json::to_string(written).expect("it has a JSON form");
    let mut source = serde_json::Deserializer::from_str(&text);
    DynamicMessage::deserialize(reader.clone(), &mut source).is_ok()
        && agree_in_json(written, reader)
}

/// Whether a message that was read from the binary form has what its writer wrote, and nothing else.
pub fn reads_the_same(written: &DynamicMessage, read: &DynamicMessage) -> bool {
    messages_agree(written, read, Form::Binary)
}

fn messages_agree(written: &DynamicMessage, read: &DynamicMessage, form: Form) -> bool {
    let (writer, reader) = (written.descriptor(), read.descriptor());
    let is_kept = writer
        .fields()
        .all(|field| match reader.get_field(field.number()) {
            Some(read_field) => field_agrees(written, &field, read, &read_field, form),
            // It is kept among the unknown fields, where the reader has reserved the number or is the older one.
            None => {
                form == Form::Json
                    || !written.has_field(&field)
                    || read
                        .unknown_fields()
                        .any(|unknown| unknown.number() == field.number())
            }
        });
    let has_nothing_else = reader
        .fields()
        .all(|field| writer.get_field(field.number()).is_some() || !read.has_field(&field));
    let has_all_required = reader
        .fields()
        .all(|field| field.cardinality() != Cardinality::Required || read.has_field(&field));
    is_kept && has_nothing_else && has_all_required
}

fn field_agrees(
    written: &DynamicMessage,
    field: &FieldDescriptor,
    read: &DynamicMessage,
    read_field: &FieldDescriptor,
    form: Form,
) -> bool {
    // An absent message has nothing that could be read otherwise.
    if is_absent_message(written, field) {
        return !read.has_field(read_field);
    }
    let has_presence = is_singular(field) && field.supports_presence() && is_singular(read_field);
    let is_set = written.has_field(field);
    let is_presence_kept = !has_presence
        || is_set == read.has_field(read_field)
        // A field without presence is there if it differs from its default.
        || !read_field.supports_presence() && !is_set;
    is_presence_kept
        && field.is_map() == read_field.is_map()
        && is_same_field(written, field, read, read_field, form)
}

fn is_singular(field: &FieldDescriptor) -> bool {
    !field.is_list() && !field.is_map()
}

fn is_absent_message(written: &DynamicMessage, field: &FieldDescriptor) -> bool {
    is_singular(field) && matches!(field.kind(), Kind::Message(_)) && !written.has_field(field)
}

fn is_same_field(
    written: &DynamicMessage,
    field: &FieldDescriptor,
    read: &DynamicMessage,
    read_field: &FieldDescriptor,
    form: Form,
) -> bool {
    let written = Typed {
        value: &written.get_field(field),
        kind: &field.kind(),
    };
    let read = Typed {
        value: &read.get_field(read_field),
        kind: &read_field.kind(),
    };
    is_same(written, read, form)
}

fn is_same(written: Typed, read: Typed, form: Form) -> bool {
    match (written.value, read.value) {
        (Value::List(a), Value::List(b)) => {
            let is_same_element = |(a, b)| {
                let written = Typed {
                    value: a,
                    kind: written.kind,
                };
                let read = Typed {
                    value: b,
                    kind: read.kind,
                };
                is_same(written, read, form)
            };
            a.len() == b.len() && a.iter().zip(b).all(is_same_element)
        }
        (Value::Map(a), Value::Map(b)) => {
            let written_kind = map_value_kind(written.kind);
            let read_kind = map_value_kind(read.kind);
            let is_same_entry = |(key, value): (&MapKey, &Value)| {
                let written = Typed {
                    value,
                    kind: &written_kind,
                };
                b.get(key).is_some_and(|value| {
                    let read = Typed {
                        value,
                        kind: &read_kind,
                    };
                    is_same(written, read, form)
                })
            };
            a.len() == b.len() && a.iter().all(is_same_entry)
        }
        (Value::Message(a), Value::Message(b)) => messages_agree(a, b, form),
        (Value::EnumNumber(a), Value::EnumNumber(b)) => match (written.kind, read.kind) {
            (Kind::Enum(writer), Kind::Enum(reader)) => {
                a == b && is_same_number(*a, writer, reader)
            }
            _ => false,
        },
        (a, b) => is_same_scalar(a, b),
    }
}

fn map_value_kind(kind: &Kind) -> Kind {
    let entry = kind.as_message().expect("an entry");
    entry.map_entry_value_field().kind()
}

/// Whether a number of an enum stands for the same to both.
fn is_same_number(number: i32, writer: &EnumDescriptor, reader: &EnumDescriptor) -> bool {
    let names = |of: &EnumDescriptor| -> Vec<String> {
        let values = of.values().filter(|value| value.number() == number);
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
        (a, b) => match (integer(a), integer(b)) {
            (Some(a), Some(b)) => a == b,
            _ => a == b,
        },
    }
}

fn integer(value: &Value) -> Option<i128> {
    match value {
        Value::I32(number) => Some((*number).into()),
        Value::I64(number) => Some((*number).into()),
        Value::U32(number) => Some((*number).into()),
        Value::U64(number) => Some((*number).into()),
        _ => None,
    }
}
