//! Random messages of a given type.

use prost_reflect::{
    Cardinality, DynamicMessage, FieldDescriptor, Kind, MapKey, MessageDescriptor, Value,
};
use std::collections::HashMap;

/// Bits of integers at the limits of their types and encodings; drawn more often than others.
const EDGE_CASES: [u64; 7] = [0, 1, u64::MAX, 1 << 31, 1 << 63, 127, (1 << 31) - 1];

/// A SplitMix64 generator. Its sequence depends on the seed alone, so that the seed of a failing case reproduces it.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 to `limit - 1`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// The bits of an edge case, or random ones.
    fn bits(&mut self) -> u64 {
        let random_bits = self.next();
        let choice = self.below(EDGE_CASES.len() as u64 + 1) as usize;
        EDGE_CASES.get(choice).copied().unwrap_or(random_bits)
    }
}

/// A message with some fields set and some not, and with up to `depth` levels of nested messages.
pub fn random_message(
    message_type: &MessageDescriptor,
    random: &mut Random,
    depth: u32,
) -> DynamicMessage {
    let mut message = DynamicMessage::new(message_type.clone());
    for field in message_type.fields() {
        let is_skipped = random.below(3) == 0;
        let is_too_deep = matches!(field.kind(), Kind::Message(_)) && depth == 0;
        let is_required = field.cardinality() == Cardinality::Required;
        if (is_skipped || is_too_deep) && !is_required {
            continue;
        }
        let value = random_field(&field, random, depth);
        message.set_field(&field, value);
    }
    message
}

fn random_field(field: &FieldDescriptor, random: &mut Random, depth: u32) -> Value {
    let kind = field.kind();
    if field.is_map() {
        let entry = kind.as_message().expect("a map entry type");
        let value = random_value(&entry.map_entry_value_field().kind(), random, depth);
        return Value::Map(HashMap::from([(MapKey::String("k".into()), value)]));
    }
    if field.is_list() {
        let length = random.below(4);
        let values = (0..length).map(|_| random_value(&kind, random, depth));
        return Value::List(values.collect());
    }
    random_value(&kind, random, depth)
}

fn random_value(kind: &Kind, random: &mut Random, depth: u32) -> Value {
    let bits = random.bits();
    match kind {
        Kind::Double => Value::F64((bits % 100_000) as f64 / 8.0),
        Kind::Float => Value::F32((bits % 1_000) as f32 / 8.0),
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(bits as i32),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(bits as i64),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(bits as u32),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(bits),
        Kind::Bool => Value::Bool(bits & 1 == 1),
        Kind::String if bits & 1 == 1 => Value::String("text".into()),
        Kind::String => Value::String(String::new()),
        Kind::Bytes => Value::Bytes(bits.to_le_bytes()[..(bits % 9) as usize].to_vec().into()),
        Kind::Message(message_type) => Value::Message(random_message(
            message_type,
            random,
            depth.saturating_sub(1),
        )),
        Kind::Enum(enum_type) => {
            let numbers: Vec<i32> = enum_type.values().map(|value| value.number()).collect();
            Value::EnumNumber(numbers[random.below(numbers.len() as u64) as usize])
        }
    }
}
