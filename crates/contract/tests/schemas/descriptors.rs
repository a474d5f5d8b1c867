//! Conversion of a schema into protobuf descriptors.

use super::{Field, Form, Schema};
use prost_types::descriptor_proto::ReservedRange;
use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{
    DescriptorProto, EnumDescriptorProto, EnumValueDescriptorProto, FieldDescriptorProto,
    FieldOptions, FileDescriptorProto, FileDescriptorSet, MessageOptions, MethodDescriptorProto,
    OneofDescriptorProto, ServiceDescriptorProto,
};

const OUTER: &str = "Outer";
const INNER: &str = "Inner";
const ENUM_TYPE: &str = ".t.Colour";
const INNER_TYPE: &str = ".t.Inner";

pub fn file_set(schema: &Schema) -> FileDescriptorSet {
    let method = MethodDescriptorProto {
        name: Some("Call".into()),
        input_type: Some(".t.Outer".into()),
        output_type: Some(".t.Outer".into()),
        ..Default::default()
    };
    let file = FileDescriptorProto {
        name: Some("t.proto".into()),
        package: Some("t".into()),
        syntax: Some(if schema.is_proto2 { "proto2" } else { "proto3" }.into()),
        message_type: vec![outer_message(schema), inner_message(schema)],
        enum_type: vec![enum_type(schema)],
        service: vec![ServiceDescriptorProto {
            name: Some("S".into()),
            method: vec![method],
            options: None,
        }],
        ..Default::default()
    };
    FileDescriptorSet { file: vec![file] }
}

fn enum_type(schema: &Schema) -> EnumDescriptorProto {
    let value = |(name, number): &(String, i32)| EnumValueDescriptorProto {
        name: Some(name.clone()),
        number: Some(*number),
        options: None,
    };
    EnumDescriptorProto {
        name: Some("Colour".into()),
        value: schema.enum_values.iter().map(value).collect(),
        ..Default::default()
    }
}

fn outer_message(schema: &Schema) -> DescriptorProto {
    let range = |number: &u32| ReservedRange {
        start: Some(*number as i32),
        end: Some(*number as i32 + 1),
    };
    DescriptorProto {
        reserved_range: schema.reserved_numbers.iter().map(range).collect(),
        reserved_name: schema.reserved_names.clone(),
        ..message(OUTER, &schema.outer, schema.is_proto2)
    }
}

fn inner_message(schema: &Schema) -> DescriptorProto {
    message(INNER, &schema.inner, schema.is_proto2)
}

fn oneof(name: &str) -> OneofDescriptorProto {
    OneofDescriptorProto {
        name: Some(name.into()),
        options: None,
    }
}

fn message(name: &str, fields: &[Field], is_proto2: bool) -> DescriptorProto {
    let mut message = DescriptorProto {
        name: Some(name.into()),
        ..Default::default()
    };
    if fields.iter().any(|field| field.is_in_oneof) {
        message.oneof_decl.push(oneof("choice"));
    }
    let mut optional_fields = Vec::new();
    for field in fields {
        let kind = field_type(name, field);
        let form = field.form(is_proto2);
        let mut descriptor = field_descriptor(field, kind, form, is_proto2);
        if form == Form::Map {
            let entry = format!("{}Entry", camel_case(&field.name));
            descriptor.r#type = Some(Type::Message as i32);
            descriptor.type_name = Some(format!(".t.{name}.{entry}"));
            message.nested_type.push(map_entry(entry, kind));
        }
        if descriptor.proto3_optional == Some(true) {
            optional_fields.push(message.field.len());
        }
        message.field.push(descriptor);
    }
    // Synthetic oneofs of optional proto3 fields have to come after all others.
    for index in optional_fields {
        let field = &mut message.field[index];
        field.oneof_index = Some(message.oneof_decl.len() as i32);
        message
            .oneof_decl
            .push(oneof(&format!("_{}", field.name())));
    }
    message
}

/// The type of a field in a message. The inner message has no fields of its own type; they are strings instead.
fn field_type(message: &str, field: &Field) -> Type {
    match field.kind() {
        Type::Message if message == INNER => Type::String,
        kind => kind,
    }
}

fn type_name(kind: Type) -> Option<String> {
    match kind {
        Type::Enum => Some(ENUM_TYPE.into()),
        Type::Message => Some(INNER_TYPE.into()),
        _ => None,
    }
}

fn field_descriptor(
    field: &Field,
    kind: Type,
    form: Form,
    is_proto2: bool,
) -> FieldDescriptorProto {
    let label = match form {
        Form::Repeated | Form::Map => Label::Repeated,
        Form::Required => Label::Required,
        Form::Singular => Label::Optional,
    };
    let is_outside_oneof = form == Form::Singular && !field.is_in_oneof;
    let has_default = is_proto2 && is_outside_oneof && is_varint(kind) && field.default > 0;
    let is_packable = !matches!(kind, Type::String | Type::Bytes | Type::Message);
    let is_optional = !is_proto2 && is_outside_oneof && field.is_optional && kind != Type::Message;
    FieldDescriptorProto {
        name: Some(field.name.clone()),
        number: Some(field.number as i32),
        label: Some(label as i32),
        r#type: Some(kind as i32),
        type_name: type_name(kind),
        oneof_index: field.is_in_oneof.then_some(0),
        default_value: has_default.then(|| field.default.to_string()),
        options: (form == Form::Repeated && is_packable).then(|| FieldOptions {
            packed: Some(field.is_packed),
            ..Default::default()
        }),
        proto3_optional: is_optional.then_some(true),
        ..Default::default()
    }
}

fn is_varint(kind: Type) -> bool {
    matches!(
        kind,
        Type::Int32 | Type::Int64 | Type::Uint32 | Type::Uint64 | Type::Sint32 | Type::Sint64
    )
}

fn map_entry(name: String, value_type: Type) -> DescriptorProto {
    let field = |name: &str, number, kind: Type| FieldDescriptorProto {
        name: Some(name.into()),
        number: Some(number),
        label: Some(Label::Optional as i32),
        r#type: Some(kind as i32),
        type_name: type_name(kind),
        ..Default::default()
    };
    DescriptorProto {
        name: Some(name),
        field: vec![field("key", 1, Type::String), field("value", 2, value_type)],
        options: Some(MessageOptions {
            map_entry: Some(true),
            ..Default::default()
        }),
        ..Default::default()
    }
}

fn camel_case(name: &str) -> String {
    name.split('_')
        .map(|part| part[..1].to_uppercase() + &part[1..])
        .collect()
}
