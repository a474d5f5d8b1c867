//! Checks the enum values of a field that the writer and the reader both have.

use super::{Finding, MessageCheck, MessagePair};
use crate::kinds::{multiplicity, Multiplicity};
use crate::samples::message_with;
use crate::{CompatibilityLevel, CompatibilityRule};
use prost_reflect::{EnumDescriptor, EnumValueDescriptor, FieldDescriptor, Syntax, Value};

impl MessageCheck<'_> {
    pub(super) fn check_enum(
        &mut self,
        pair: &MessagePair,
        field: &FieldDescriptor,
        writer: &EnumDescriptor,
        reader: &EnumDescriptor,
    ) {
        for value in writer.values() {
            let Some((rule, change)) = self.value_change(&value, writer, reader) else {
                continue;
            };
            let finding = Finding {
                field: field.name(),
                rule,
                change,
                written: message_with(field, enum_value(field, value.number())),
            };
            self.report(pair, finding);
        }
    }

    /// The rule that the change of an enum value breaks, and a description of the change; `None` if it breaks none.
    fn value_change(
        &self,
        value: &EnumValueDescriptor,
        writer: &EnumDescriptor,
        reader: &EnumDescriptor,
    ) -> Option<(CompatibilityRule, String)> {
        let (name, number) = (value.name(), value.number());
        let reader_names = names_of(reader, number);
        if let Some(new_name) = reader_names.first() {
            // With aliases, an enum has several names for one number.
            let writer_names = names_of(writer, number);
            if writer_names.iter().any(|name| reader_names.contains(name)) {
                return None;
            }
            let change = format!("number {number} was '{name}', and is '{new_name}'");
            return Some((CompatibilityRule::EnumReused, change));
        }
        if let Some(moved) = reader.get_value_by_name(name) {
            let change = format!("'{name}' was {number}, and is {}", moved.number());
            return Some((CompatibilityRule::EnumReused, change));
        }
        let is_closed = reader.parent_file().syntax() == Syntax::Proto2;
        if is_closed || self.level == CompatibilityLevel::WireAndJson {
            let change = format!("value {number} '{name}' is not known to its reader");
            return Some((CompatibilityRule::EnumValue, change));
        }
        None
    }
}

/// The names that an enum has for a number.
fn names_of(enum_type: &EnumDescriptor, number: i32) -> Vec<String> {
    enum_type
        .values()
        .filter(|value| value.number() == number)
        .map(|value| value.name().to_string())
        .collect()
}

fn enum_value(field: &FieldDescriptor, number: i32) -> Value {
    let value = Value::EnumNumber(number);
    match multiplicity(field) {
        Multiplicity::Repeated => Value::List(vec![value]),
        Multiplicity::Single | Multiplicity::Map => value,
    }
}
