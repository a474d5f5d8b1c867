//! Messages that show a break: built by the writer's descriptors, read back by the reader's.

use crate::breaks::{Direction, Witness};
use crate::types::{holds, Holds};
use prost::Message;
use prost_reflect::{
    DynamicMessage, FieldDescriptor, Kind, MapKey, MessageDescriptor, ReflectMessage, Syntax, Value,
};
use std::collections::HashMap;

/// A value that differs from the default and shows most changes of a type: negative, large, not UTF-8.
pub(crate) fn telling(kind: &Kind) -> Value {
    match kind {
        Kind::Double => Value::F64(-1.5e300),
        Kind::Float => Value::F32(-1.5),
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(i32::MIN + 5),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(i64::MIN + 5),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(u32::MAX - 5),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(u64::MAX - 5),
        Kind::Bool => Value::Bool(true),
        Kind::String => Value::String("witness".into()),
        Kind::Bytes => Value::Bytes(vec![0xff, 0xfe, 7].into()),
        Kind::Message(m) => Value::Message(DynamicMessage::new(m.clone())),
        Kind::Enum(e) => {
            let mut values = e.values().map(|v| v.number());
            // An open enum holds numbers that it has no name for; 0 would not be written.
            let open = e.parent_file().syntax() != Syntax::Proto2;
            let unnamed = if open { 7 } else { e.default_value().number() };
            Value::EnumNumber(values.find(|n| *n != 0).unwrap_or(unnamed))
        }
    }
}

/// A field's value that holds one element, or two.
pub(crate) fn held(field: &FieldDescriptor, value: Value, twice: bool) -> Value {
    match holds(field) {
        Holds::One => value,
        Holds::Many if twice => Value::List(vec![value.clone(), value]),
        Holds::Many => Value::List(vec![value]),
        Holds::Map => match field.kind().as_message() {
            Some(entry) => {
                let key = key_of(&entry.map_entry_key_field().kind());
                Value::Map(HashMap::from([(
                    key,
                    telling(&entry.map_entry_value_field().kind()),
                )]))
            }
            None => value,
        },
    }
}

fn key_of(kind: &Kind) -> MapKey {
    match telling(kind) {
        Value::Bool(b) => MapKey::Bool(b),
        Value::I32(n) => MapKey::I32(n),
        Value::I64(n) => MapKey::I64(n),
        Value::U32(n) => MapKey::U32(n),
        Value::U64(n) => MapKey::U64(n),
        _ => MapKey::String("witness".into()),
    }
}

fn key_from(value: &Value) -> MapKey {
    match value {
        Value::Bool(b) => MapKey::Bool(*b),
        Value::I32(n) => MapKey::I32(*n),
        Value::I64(n) => MapKey::I64(*n),
        Value::U32(n) => MapKey::U32(*n),
        Value::U64(n) => MapKey::U64(*n),
        Value::String(s) => MapKey::String(s.clone()),
        _ => MapKey::String(String::new()),
    }
}

/// A message of `root` with `leaf` at the end of a path of its fields.
pub(crate) fn nested(
    root: &MessageDescriptor,
    path: &[FieldDescriptor],
    leaf: DynamicMessage,
) -> DynamicMessage {
    let mut inner = leaf;
    for (place, field) in path.iter().enumerate().rev() {
        let outer = match place.checked_sub(1).map(|i| path[i].kind()) {
            Some(Kind::Message(m)) => m,
            _ => root.clone(),
        };
        let value = match holds(field) {
            Holds::One => Value::Message(inner),
            Holds::Many => Value::List(vec![Value::Message(inner)]),
            // The inner message is the entry.
            Holds::Map => {
                let entry = inner.descriptor();
                let key = key_from(&inner.get_field(&entry.map_entry_key_field()));
                let value = inner.get_field(&entry.map_entry_value_field()).into_owned();
                Value::Map(HashMap::from([(key, value)]))
            }
        };
        let mut message = DynamicMessage::new(outer);
        message.set_field(field, value);
        inner = message;
    }
    inner
}

/// What a reader makes of a message that was written.
pub(crate) fn shown(
    direction: Direction,
    written: &DynamicMessage,
    reader: &MessageDescriptor,
) -> Witness {
    let bytes = written.encode_to_vec();
    let read = match DynamicMessage::decode(reader.clone(), &bytes[..]) {
        Ok(message) => message.to_text_format(),
        Err(e) => format!("nothing: {e}"),
    };
    let message = written.descriptor().full_name().to_string();
    Witness::Message {
        direction,
        message,
        bytes,
        written: written.to_text_format(),
        read,
    }
}

/// The same for the JSON form.
pub(crate) fn shown_in_json(
    direction: Direction,
    written: &DynamicMessage,
    reader: &MessageDescriptor,
) -> Witness {
    let bytes = written.encode_to_vec();
    let json = serde_json::to_string(written).unwrap_or_default();
    let mut source = serde_json::Deserializer::from_str(&json);
    let read = match DynamicMessage::deserialize(reader.clone(), &mut source) {
        Ok(message) => serde_json::to_string(&message).unwrap_or_default(),
        Err(e) => format!("nothing: {e}"),
    };
    let message = written.descriptor().full_name().to_string();
    Witness::Message {
        direction,
        message,
        bytes,
        written: json,
        read,
    }
}

/// Bytes with one field of a number and the first wire type, as an earlier version may have written them.
pub(crate) fn of_number(root: &MessageDescriptor, number: u32) -> DynamicMessage {
    let mut bytes = Vec::new();
    prost::encoding::encode_key(number, prost::encoding::WireType::Varint, &mut bytes);
    bytes.push(7);
    DynamicMessage::decode(root.clone(), &bytes[..])
        .unwrap_or_else(|_| DynamicMessage::new(root.clone()))
}
