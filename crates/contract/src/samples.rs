//! Sample messages that are written by one version and misread by the other if the two are incompatible.

use crate::kinds::{multiplicity, Multiplicity};
use prost::encoding::{encode_key, WireType};
use prost_reflect::{
    DynamicMessage, FieldDescriptor, Kind, MapKey, MessageDescriptor, ReflectMessage, Syntax, Value,
};
use std::collections::HashMap;

/// A number that differs from the default and that most enums have no name for.
const SAMPLE_NUMBER: i32 = 7;
/// The sample of a string and the fallback for a map key.
const SAMPLE_TEXT: &str = "witness";
/// The sample of a bytes field: not UTF-8, so that it cannot be read as a string.
const SAMPLE_BYTES: [u8; 3] = [0xff, 0xfe, 7];

/// A value that differs from the default and is misread after most changes of its type: negative, large or not UTF-8.
pub(crate) fn sample_value(kind: &Kind) -> Value {
    match kind {
        Kind::Double => Value::F64(-1.5e300),
        Kind::Float => Value::F32(-1.5),
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(i32::MIN + 5),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(i64::MIN + 5),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(u32::MAX - 5),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(u64::MAX - 5),
        Kind::Bool => Value::Bool(true),
        Kind::String => Value::String(SAMPLE_TEXT.into()),
        Kind::Bytes => Value::Bytes(SAMPLE_BYTES.to_vec().into()),
        Kind::Message(message) => Value::Message(DynamicMessage::new(message.clone())),
        Kind::Enum(enum_type) => {
            let mut numbers = enum_type.values().map(|value| value.number());
            // If 0 is the only value, an open enum uses a number without a name, because 0 would not be encoded.
            let is_open = enum_type.parent_file().syntax() != Syntax::Proto2;
            let fallback = if is_open {
                SAMPLE_NUMBER
            } else {
                enum_type.default_value().number()
            };
            Value::EnumNumber(numbers.find(|number| *number != 0).unwrap_or(fallback))
        }
    }
}

/// A sample value of a field: a single value, a list of two values, or a map of one entry.
pub(crate) fn sample_field(field: &FieldDescriptor) -> Value {
    let value = sample_value(&field.kind());
    match multiplicity(field) {
        Multiplicity::Repeated => Value::List(vec![value.clone(), value]),
        Multiplicity::Single | Multiplicity::Map => value_or_map(field, value),
    }
}

/// A sample value of a field with one element: a single value, a list of one value, or a map of one entry.
pub(crate) fn sample_field_with_one_element(field: &FieldDescriptor) -> Value {
    let value = sample_value(&field.kind());
    match multiplicity(field) {
        Multiplicity::Repeated => Value::List(vec![value]),
        Multiplicity::Single | Multiplicity::Map => value_or_map(field, value),
    }
}

/// The given value of a singular field, or a map with one sample entry.
fn value_or_map(field: &FieldDescriptor, value: Value) -> Value {
    let kind = field.kind();
    let Some(entry) = kind.as_message().filter(|_| field.is_map()) else {
        return value;
    };
    let key = sample_key(&entry.map_entry_key_field().kind());
    let value = sample_value(&entry.map_entry_value_field().kind());
    Value::Map(HashMap::from([(key, value)]))
}

fn sample_key(kind: &Kind) -> MapKey {
    map_key(&sample_value(kind)).unwrap_or_else(|| MapKey::String(SAMPLE_TEXT.into()))
}

/// The value as a map key; `None` if its type cannot be a key.
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

/// A message with this value in one field and all others unset.
pub(crate) fn message_with(field: &FieldDescriptor, value: Value) -> DynamicMessage {
    let mut message = DynamicMessage::new(field.parent_message().clone());
    message.set_field(field, value);
    message
}

/// A message with a sample value in one field and all others unset.
pub(crate) fn sample_message(field: &FieldDescriptor) -> DynamicMessage {
    message_with(field, sample_field(field))
}

/// A message of type `root` that holds `leaf` at the end of `path`.
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
            Multiplicity::Map => map_from_entry(&inner),
        };
        let mut message = DynamicMessage::new(outer);
        message.set_field(field, value);
        inner = message;
    }
    inner
}

/// Converts a message of a map's entry type into a map with that entry.
fn map_from_entry(entry: &DynamicMessage) -> Value {
    let entry_type = entry.descriptor();
    let key = map_key(&entry.get_field(&entry_type.map_entry_key_field()));
    let key = key.unwrap_or_else(|| MapKey::String(String::new()));
    let value = entry
        .get_field(&entry_type.map_entry_value_field())
        .into_owned();
    Value::Map(HashMap::from([(key, value)]))
}

/// A message with an unknown field of this number, as a version before the writer's may have written it.
pub(crate) fn message_with_unknown_field(
    message: &MessageDescriptor,
    number: u32,
) -> DynamicMessage {
    let mut bytes = Vec::new();
    encode_key(number, WireType::Varint, &mut bytes);
    bytes.push(SAMPLE_NUMBER as u8);
    DynamicMessage::decode(message.clone(), &bytes[..])
        .unwrap_or_else(|_| DynamicMessage::new(message.clone()))
}
