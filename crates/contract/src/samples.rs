//! Messages that make a difference of two versions visible.

use crate::kinds::{multiplicity, Multiplicity};
use prost::encoding::{encode_key, WireType};
use prost_reflect::{
    DynamicMessage, FieldDescriptor, Kind, MapKey, MessageDescriptor, ReflectMessage, Syntax, Value,
};
use std::collections::HashMap;

/// A number that differs from the default and from every value of most enums.
const UNNAMED_NUMBER: i32 = 7;
/// The text of a string or of a map's key.
const TEXT: &str = "witness";
/// Bytes that are not UTF-8.
const NOT_UTF8: [u8; 3] = [0xff, 0xfe, 7];

/// A value that differs from the default and shows most changes of a type: negative, large, not UTF-8.
pub(crate) fn sample_value(kind: &Kind) -> Value {
    match kind {
        Kind::Double => Value::F64(-1.5e300),
        Kind::Float => Value::F32(-1.5),
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(i32::MIN + 5),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(i64::MIN + 5),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(u32::MAX - 5),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(u64::MAX - 5),
        Kind::Bool => Value::Bool(true),
        Kind::String => Value::String(TEXT.into()),
        Kind::Bytes => Value::Bytes(NOT_UTF8.to_vec().into()),
        Kind::Message(message) => Value::Message(DynamicMessage::new(message.clone())),
        Kind::Enum(of) => {
            let mut numbers = of.values().map(|value| value.number());
            // An open enum can have a number without a name; 0 would not be written.
            let is_open = of.parent_file().syntax() != Syntax::Proto2;
            let fallback = if is_open {
                UNNAMED_NUMBER
            } else {
                of.default_value().number()
            };
            Value::EnumNumber(numbers.find(|number| *number != 0).unwrap_or(fallback))
        }
    }
}

/// A value of a field whose elements are samples: one, two of a repeated field, or one entry of a map.
pub(crate) fn sample_field(field: &FieldDescriptor) -> Value {
    let value = sample_value(&field.kind());
    match multiplicity(field) {
        Multiplicity::Repeated => Value::List(vec![value.clone(), value]),
        Multiplicity::Single | Multiplicity::Map => single_sample(field, value),
    }
}

/// A value of a field with one element.
pub(crate) fn sample_field_once(field: &FieldDescriptor) -> Value {
    let value = sample_value(&field.kind());
    match multiplicity(field) {
        Multiplicity::Repeated => Value::List(vec![value]),
        Multiplicity::Single | Multiplicity::Map => single_sample(field, value),
    }
}

/// The value itself, or an entry of a map.
fn single_sample(field: &FieldDescriptor, value: Value) -> Value {
    let kind = field.kind();
    let Some(entry) = kind.as_message().filter(|_| field.is_map()) else {
        return value;
    };
    let key = sample_key(&entry.map_entry_key_field().kind());
    let value = sample_value(&entry.map_entry_value_field().kind());
    Value::Map(HashMap::from([(key, value)]))
}

fn sample_key(kind: &Kind) -> MapKey {
    map_key(&sample_value(kind)).unwrap_or_else(|| MapKey::String(TEXT.into()))
}

/// The value as a key of a map; `None` if it cannot be one.
fn map_key(value: &Value) -> Option<MapKey> {
    Some(match value {
        Value::Bool(value) => MapKey::Bool(*value),
        Value::I32(number) => MapKey::I32(*number),
        Value::I64(number) => MapKey::I64(*number),
        Value::U32(number) => MapKey::U32(*number),
        Value::U64(number) => MapKey::U64(*number),
        Value::String(text) => MapKey::String(text.clone()),
        _ => return None,
    })
}

/// A message with one field set.
pub(crate) fn message_with(field: &FieldDescriptor, value: Value) -> DynamicMessage {
    let mut message = DynamicMessage::new(field.parent_message().clone());
    message.set_field(field, value);
    message
}

/// A message with a sample in one field.
pub(crate) fn sample_message(field: &FieldDescriptor) -> DynamicMessage {
    message_with(field, sample_field(field))
}

/// A message of type `root` that has `leaf` at the end of a path of fields.
pub(crate) fn nested_message(
    root: &MessageDescriptor,
    path: &[FieldDescriptor],
    leaf: DynamicMessage,
) -> DynamicMessage {
    let mut inner = leaf;
    for (position, field) in path.iter().enumerate().rev() {
        let outer_kind = position.checked_sub(1).map(|before| path[before].kind());
        let outer = match outer_kind {
            Some(Kind::Message(message)) => message,
            _ => root.clone(),
        };
        let value = match multiplicity(field) {
            Multiplicity::Single => Value::Message(inner),
            Multiplicity::Repeated => Value::List(vec![Value::Message(inner)]),
            Multiplicity::Map => map_of_entry(&inner),
        };
        let mut message = DynamicMessage::new(outer);
        message.set_field(field, value);
        inner = message;
    }
    inner
}

/// A map with the entry that a message of the map's entry type holds.
fn map_of_entry(entry: &DynamicMessage) -> Value {
    let of = entry.descriptor();
    let key = map_key(&entry.get_field(&of.map_entry_key_field()));
    let key = key.unwrap_or_else(|| MapKey::String(String::new()));
    let value = entry.get_field(&of.map_entry_value_field()).into_owned();
    Value::Map(HashMap::from([(key, value)]))
}

/// A message with a field of this number, as a version before may have written it.
pub(crate) fn message_with_number(root: &MessageDescriptor, number: u32) -> DynamicMessage {
    let mut bytes = Vec::new();
    encode_key(number, WireType::Varint, &mut bytes);
    bytes.push(UNNAMED_NUMBER as u8);
    DynamicMessage::decode(root.clone(), &bytes[..])
        .unwrap_or_else(|_| DynamicMessage::new(root.clone()))
}
