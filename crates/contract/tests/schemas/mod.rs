//! Random schemas, and random changes of them.

#![allow(
    dead_code,
    reason = "each test program that includes this module uses a part of it"
)]

use chalkdeck_contract::{Effect, Group, Promise, Version};
use proptest::prelude::*;
use prost::Message;
use prost_types::descriptor_proto::ReservedRange;
use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{
    DescriptorProto, EnumDescriptorProto, EnumValueDescriptorProto, FieldDescriptorProto,
    FieldOptions, FileDescriptorProto, FileDescriptorSet, MethodDescriptorProto,
    OneofDescriptorProto, ServiceDescriptorProto,
};
use std::collections::BTreeMap;

/// A schema in a form that is easy to change: one message with an inner one and an enum.
#[derive(Clone, Debug, PartialEq)]
pub struct Schema {
    pub proto2: bool,
    pub outer: Vec<Field>,
    pub inner: Vec<Field>,
    pub values: Vec<(String, i32)>,
    pub reserved: Vec<u32>,
    pub reserved_names: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: String,
    pub number: u32,
    pub kind: u8,
    pub many: u8,
    /// In the oneof.
    pub grouped: bool,
    pub optional: bool,
    pub default: u8,
    pub packed: bool,
}

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
pub const MAPS: u8 = 3;

impl Field {
    fn kind(&self) -> Type {
        KINDS[usize::from(self.kind) % KINDS.len()]
    }
    /// 0: one; 1: many; 2: required where there is such a thing; 3: a map.
    fn form(&self, proto2: bool) -> u8 {
        match (self.many % 4, self.grouped) {
            (_, true) => 0,
            (2, _) if !proto2 => 0,
            (form, _) => form,
        }
    }
}

pub fn fields(of: &Schema, fields: &[Field], inner: bool) -> DescriptorProto {
    let mut out = DescriptorProto {
        name: Some(if inner { "Inner" } else { "Outer" }.into()),
        ..Default::default()
    };
    let any_grouped = fields.iter().any(|f| f.grouped);
    if any_grouped {
        out.oneof_decl.push(OneofDescriptorProto {
            name: Some("choice".into()),
            options: None,
        });
    }
    let mut plain = Vec::new();
    for f in fields {
        // The inner message does not hold itself.
        let kind = if inner && f.kind() == Type::Message {
            Type::String
        } else {
            f.kind()
        };
        let form = f.form(of.proto2);
        let mut field = FieldDescriptorProto {
            name: Some(f.name.clone()),
            number: Some(f.number as i32),
            label: Some(match form {
                1 | MAPS => Label::Repeated,
                2 => Label::Required,
                _ => Label::Optional,
            } as i32),
            r#type: Some(kind as i32),
            type_name: match kind {
                Type::Enum => Some(".t.Colour".into()),
                Type::Message => Some(".t.Inner".into()),
                _ => None,
            },
            ..Default::default()
        };
        if form == MAPS {
            let entry = format!("{}Entry", camel(&f.name));
            field.r#type = Some(Type::Message as i32);
            field.type_name = Some(format!(
                ".t.{}.{entry}",
                if inner { "Inner" } else { "Outer" }
            ));
            let part = |name: &str, number, r#type: Type, type_name| FieldDescriptorProto {
                name: Some(name.into()),
                number: Some(number),
                label: Some(Label::Optional as i32),
                r#type: Some(r#type as i32),
                type_name,
                ..Default::default()
            };
            let value_name = match kind {
                Type::Enum => Some(".t.Colour".to_string()),
                Type::Message => Some(".t.Inner".to_string()),
                _ => None,
            };
            out.nested_type.push(DescriptorProto {
                name: Some(entry),
                field: vec![
                    part("key", 1, Type::String, None),
                    part("value", 2, kind, value_name),
                ],
                options: Some(prost_types::MessageOptions {
                    map_entry: Some(true),
                    ..Default::default()
                }),
                ..Default::default()
            });
        }
        if f.grouped {
            field.oneof_index = Some(0);
        }
        let number = matches!(
            kind,
            Type::Int32 | Type::Int64 | Type::Uint32 | Type::Uint64 | Type::Sint32 | Type::Sint64
        );
        if of.proto2 && form == 0 && !f.grouped && number && f.default > 0 {
            field.default_value = Some(f.default.to_string());
        }
        let packs = !matches!(kind, Type::String | Type::Bytes | Type::Message);
        if form == 1 && packs {
            field.options = Some(FieldOptions {
                packed: Some(f.packed),
                ..Default::default()
            });
        }
        if !of.proto2 && form == 0 && !f.grouped && f.optional && kind != Type::Message {
            field.proto3_optional = Some(true);
            plain.push((out.field.len(), f.name.clone()));
        }
        out.field.push(field);
    }
    for (place, name) in plain {
        out.field[place].oneof_index = Some(out.oneof_decl.len() as i32);
        out.oneof_decl.push(OneofDescriptorProto {
            name: Some(format!("_{name}")),
            options: None,
        });
    }
    if !inner {
        let range = |n: &u32| ReservedRange {
            start: Some(*n as i32),
            end: Some(*n as i32 + 1),
        };
        out.reserved_range = of.reserved.iter().map(range).collect();
        out.reserved_name = of.reserved_names.clone();
    }
    out
}

pub fn camel(name: &str) -> String {
    name.split('_')
        .map(|p| p[..1].to_uppercase() + &p[1..])
        .collect()
}

impl Schema {
    pub fn version(&self, name: &str) -> Option<Version> {
        let promises = BTreeMap::from([("Call".to_string(), promise())]);
        Version::read(name, "t.S", &self.descriptors(), promises).ok()
    }

    pub fn descriptors(&self) -> Vec<u8> {
        let value = |(name, number): &(String, i32)| EnumValueDescriptorProto {
            name: Some(name.clone()),
            number: Some(*number),
            options: None,
        };
        let method = MethodDescriptorProto {
            name: Some("Call".into()),
            input_type: Some(".t.Outer".into()),
            output_type: Some(".t.Outer".into()),
            ..Default::default()
        };
        let file = FileDescriptorProto {
            name: Some("t.proto".into()),
            package: Some("t".into()),
            syntax: Some(if self.proto2 { "proto2" } else { "proto3" }.into()),
            message_type: vec![
                fields(self, &self.outer, false),
                fields(self, &self.inner, true),
            ],
            enum_type: vec![EnumDescriptorProto {
                name: Some("Colour".into()),
                value: self.values.iter().map(value).collect(),
                ..Default::default()
            }],
            service: vec![ServiceDescriptorProto {
                name: Some("S".into()),
                method: vec![method],
                options: None,
            }],
            ..Default::default()
        };
        let set = FileDescriptorSet { file: vec![file] };
        set.encode_to_vec()
    }
}

pub fn empty_schema() -> Schema {
    Schema {
        proto2: false,
        outer: Vec::new(),
        inner: Vec::new(),
        values: vec![("V0".into(), 0)],
        reserved: Vec::new(),
        reserved_names: Vec::new(),
    }
}

pub fn promise() -> Promise {
    Promise {
        effect: Effect::Safe,
        group: Group::All,
        window_ms: 0,
        aim_ms: 100,
        deadline_ms: 500,
        units: 1.0,
        worth: 1.0,
    }
}

pub fn any_field() -> impl Strategy<Value = Field> {
    (
        0u8..17,
        0u8..8,
        0u8..6,
        any::<bool>(),
        0u8..3,
        any::<bool>(),
    )
        .prop_map(|(kind, many, grouped, optional, default, packed)| {
            let many = if many >= 4 { 0 } else { many };
            Field {
                name: String::new(),
                number: 0,
                kind,
                many,
                grouped: grouped == 0,
                optional,
                default,
                packed,
            }
        })
}

pub fn any_schema() -> impl Strategy<Value = Schema> {
    let some = |most| prop::collection::vec(any_field(), 1..most);
    (any::<bool>(), some(6), some(4), 1i32..4).prop_map(|(proto2, outer, inner, values)| {
        let named = |fields: Vec<Field>, letter: &str| {
            let named = |(i, f): (usize, Field)| Field {
                name: format!("{letter}_{i}"),
                number: i as u32 + 1,
                ..f
            };
            fields.into_iter().enumerate().map(named).collect()
        };
        let values = (0..values).map(|i| (format!("V{i}"), i)).collect();
        Schema {
            proto2,
            outer: named(outer, "f"),
            inner: named(inner, "g"),
            values,
            reserved: vec![99],
            reserved_names: vec![],
        }
    })
}

/// A change, by its kind and what it draws.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub kind: u8,
    pub at: usize,
    pub to: u8,
    pub inner: bool,
}

pub const CHANGES: [&str; 17] = [
    "add a field",
    "remove a field",
    "remove and reserve a field",
    "rename a field",
    "renumber a field",
    "change a type",
    "change a label",
    "into or out of the oneof",
    "optional or not",
    "another default",
    "packed or not",
    "add a value",
    "remove a value",
    "rename a value",
    "renumber a value",
    "use a reserved number",
    "swap two numbers",
];

pub fn change(schema: &mut Schema, c: Change) {
    let values = schema.values.len();
    let proto2 = schema.proto2;
    let list = if c.inner {
        &mut schema.inner
    } else {
        &mut schema.outer
    };
    let (at, len) = (c.at % list.len(), list.len());
    match usize::from(c.kind) % CHANGES.len() {
        0 => {
            let new = Field {
                name: "added".into(),
                number: 40,
                grouped: false,
                ..list[at].clone()
            };
            list.push(Field { kind: c.to, ..new });
        }
        1 if len > 1 => drop(list.remove(at)),
        2 if len > 1 && !c.inner => {
            let gone = list.remove(at);
            schema.reserved.push(gone.number);
            schema.reserved_names.push(gone.name);
        }
        3 => list[at].name = "renamed".into(),
        4 => list[at].number = 41,
        5 => list[at].kind = c.to,
        6 => list[at].many = c.to % if proto2 { 4 } else { 2 },
        7 => list[at].grouped = !list[at].grouped,
        8 => list[at].optional = !list[at].optional,
        9 => list[at].default = c.to % 4,
        10 => list[at].packed = !list[at].packed,
        11 => schema.values.push(("ADDED".into(), 50)),
        12 if values > 1 => drop(schema.values.remove(1 + c.at % (values - 1))),
        13 => schema.values[c.at % values].0 = "RENAMED".into(),
        14 if values > 1 => schema.values[1 + c.at % (values - 1)].1 = 60,
        15 => schema.outer.push(Field {
            name: "reuses".into(),
            number: 99,
            ..list_first(schema)
        }),
        16 if len > 1 => {
            let other = (at + 1) % len;
            (list[at].number, list[other].number) = (list[other].number, list[at].number);
        }
        _ => {}
    }
    schema
        .reserved
        .retain(|n| !schema.outer.iter().any(|f| f.number == *n));
}

pub fn list_first(schema: &Schema) -> Field {
    Field {
        grouped: false,
        ..schema.outer[0].clone()
    }
}
