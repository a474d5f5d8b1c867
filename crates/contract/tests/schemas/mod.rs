//! Random schemas, and random changes of them.
#![allow(
    dead_code,
    reason = "each test program that includes this module uses a part of it"
)]

pub mod changes;
mod descriptors;

use chalkdeck_contract::{Idempotency, KeyScope, Promise, ServiceVersion};
use proptest::prelude::*;
use prost::Message;
use prost_types::field_descriptor_proto::Type;
use std::collections::BTreeMap;

/// The types of fields, by [`Field::kind`].
pub const KINDS: [Type; 17] = [
    Type::Int32,
    Type::Int64,
    Type::Uint32,
    Type::Uint64,
    Type::Sint32,
    Type::Sint64,
    Type::Fixed32,
    Type::Sfixed64,
    Type::Bool,
    Type::Float,
    Type::Double,
    Type::String,
    Type::Bytes,
    Type::Enum,
    Type::Message,
    Type::Fixed64,
    Type::Sfixed32,
];

/// How a field holds its values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    Singular,
    Repeated,
    Required,
    Map,
}

/// A schema in a form that is easy to change: a service with one method that takes and returns an outer message, which may contain an
/// inner message and an enum.
#[derive(Clone, Debug, PartialEq)]
pub struct Schema {
    pub is_proto2: bool,
    pub outer: Vec<Field>,
    pub inner: Vec<Field>,
    pub enum_values: Vec<(String, i32)>,
    pub reserved_numbers: Vec<u32>,
    pub reserved_names: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: String,
    pub number: u32,
    /// An index of [`KINDS`].
    pub kind: u8,
    /// Selects the form, see [`Field::form`].
    pub label: u8,
    pub is_in_oneof: bool,
    pub is_optional: bool,
    /// The default of an integer field in proto2; 0 for none.
    pub default: u8,
    pub is_packed: bool,
}

impl Field {
    fn kind(&self) -> Type {
        KINDS[usize::from(self.kind) % KINDS.len()]
    }

    fn form(&self, is_proto2: bool) -> Form {
        match self.label % 4 {
            _ if self.is_in_oneof => Form::Singular,
            1 => Form::Repeated,
            2 if is_proto2 => Form::Required,
            3 => Form::Map,
            _ => Form::Singular,
        }
    }
}

impl Schema {
    /// The schema as a service version; `None` if the schema is not valid.
    pub fn version(&self, name: &str) -> Option<ServiceVersion> {
        let promises = BTreeMap::from([("Call".to_string(), promise())]);
        ServiceVersion::parse(name, "t.S", &self.descriptors(), promises).ok()
    }

    pub fn descriptors(&self) -> Vec<u8> {
        descriptors::file_set(self).encode_to_vec()
    }
}

pub fn empty_schema() -> Schema {
    Schema {
        is_proto2: false,
        outer: Vec::new(),
        inner: Vec::new(),
        enum_values: vec![("V0".into(), 0)],
        reserved_numbers: Vec::new(),
        reserved_names: Vec::new(),
    }
}

pub fn promise() -> Promise {
    Promise {
        idempotency: Idempotency::Idempotent,
        key_scope: KeyScope::All,
        key_window_ms: 0,
        latency_objective_ms: 100,
        deadline_ms: 500,
        units: 1.0,
        priority_weight: 1.0,
    }
}

fn any_field() -> impl Strategy<Value = Field> {
    let parameters = (
        0u8..17,
        0u8..8,
        0u8..6,
        any::<bool>(),
        0u8..3,
        any::<bool>(),
    );
    parameters.prop_map(
        |(kind, label, oneof_choice, is_optional, default, is_packed)| Field {
            name: String::new(),
            number: 0,
            kind,
            // Makes at least half of all fields singular.
            label: if label >= 4 { 0 } else { label },
            is_in_oneof: oneof_choice == 0,
            is_optional,
            default,
            is_packed,
        },
    )
}

/// Gives fields their names and numbers.
fn with_names_and_numbers(fields: Vec<Field>, prefix: &str) -> Vec<Field> {
    let with_name_and_number = |(index, field): (usize, Field)| Field {
        name: format!("{prefix}_{index}"),
        number: index as u32 + 1,
        ..field
    };
    fields
        .into_iter()
        .enumerate()
        .map(with_name_and_number)
        .collect()
}

pub fn any_schema() -> impl Strategy<Value = Schema> {
    let fields = |end| prop::collection::vec(any_field(), 1..end);
    (any::<bool>(), fields(6), fields(4), 1i32..4).prop_map(
        |(is_proto2, outer, inner, enum_value_count)| Schema {
            is_proto2,
            outer: with_names_and_numbers(outer, "f"),
            inner: with_names_and_numbers(inner, "g"),
            enum_values: (0..enum_value_count)
                .map(|number| (format!("V{number}"), number))
                .collect(),
            reserved_numbers: vec![changes::RESERVED_NUMBER],
            reserved_names: vec![],
        },
    )
}
