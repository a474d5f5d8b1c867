//! Checks fields whose numbers the writer and the reader both have.

use super::{describe_moved_number, Finding, MessageCheck, MessagePair};
use crate::kinds::{kind_compatibility, kind_name, multiplicity, KindCompatibility, Multiplicity};
use crate::samples::{message_with, sample_message};
use crate::{CompatibilityLevel, CompatibilityRule};
use prost_reflect::{DynamicMessage, FieldDescriptor, Kind, Value};

impl MessageCheck<'_> {
    pub(super) fn check_field(
        &mut self,
        pair: &MessagePair,
        written: &FieldDescriptor,
        read: &FieldDescriptor,
    ) {
        if let Some((rule, change)) = self.type_change(written, read) {
            let finding = Finding {
                field: written.name(),
                rule,
                change,
                written: sample_message(written),
            };
            return self.report(pair, finding);
        }
        self.check_name(pair, written, read);
        self.check_presence(pair, written, read);
        match (written.kind(), read.kind()) {
            (Kind::Message(writer), Kind::Message(reader)) => {
                let mut path = pair.path.to_vec();
                path.push(written.clone());
                self.check_message(&MessagePair {
                    path: &path,
                    writer: &writer,
                    reader: &reader,
                });
            }
            (Kind::Enum(writer), Kind::Enum(reader)) => {
                self.check_enum(pair, written, &writer, &reader);
            }
            _ => {}
        }
    }

    /// The rule that the change of the field's type breaks, and a description of the change; `None` if it breaks none.
    fn type_change(
        &self,
        written: &FieldDescriptor,
        read: &FieldDescriptor,
    ) -> Option<(CompatibilityRule, String)> {
        let (old, new) = (multiplicity(written), multiplicity(read));
        if old != new {
            let change = format!("{old} was written, {new} is read");
            return Some((CompatibilityRule::Cardinality, change));
        }
        let kind_compatibility = if written.is_group() == read.is_group() {
            kind_compatibility(&written.kind(), &read.kind(), self.level)
        } else {
            KindCompatibility::Incompatible
        };
        let rule = match kind_compatibility {
            KindCompatibility::Full => return None,
            KindCompatibility::BinaryOnly => CompatibilityRule::JsonForm,
            KindCompatibility::Incompatible => CompatibilityRule::Type,
        };
        let change = format!(
            "{} was written, {} is read",
            kind_name(&written.kind()),
            kind_name(&read.kind())
        );
        Some((rule, change))
    }

    fn check_name(
        &mut self,
        pair: &MessagePair,
        written: &FieldDescriptor,
        read: &FieldDescriptor,
    ) {
        if written.name() == read.name() && written.json_name() == read.json_name() {
            return;
        }
        // If the reader has the same name under another number, it reads the written value into another field.
        let moved = pair
            .reader
            .get_field_by_name(written.name())
            .filter(|field| field.number() != written.number());
        let (rule, change) = if let Some(moved) = moved {
            let change = describe_moved_number(written, &moved);
            (CompatibilityRule::NumberMoved, change)
        } else if self.level == CompatibilityLevel::WireAndJson {
            let (old, new) = (written.json_name(), read.json_name());
            let change = format!("'{old}' was written, '{new}' is read");
            (CompatibilityRule::JsonName, change)
        } else {
            return;
        };
        let finding = Finding {
            field: written.name(),
            rule,
            change,
            written: sample_message(written),
        };
        self.report(pair, finding);
    }

    fn check_presence(
        &mut self,
        pair: &MessagePair,
        written: &FieldDescriptor,
        read: &FieldDescriptor,
    ) {
        if multiplicity(written) != Multiplicity::Single {
            return;
        }
        let empty = || DynamicMessage::new(pair.writer.clone());
        if read.is_required() && !written.is_required() {
            let finding = Finding {
                field: written.name(),
                rule: CompatibilityRule::Required,
                change: format!("'{}' is required and not always written", read.name()),
                written: empty(),
            };
            self.report(pair, finding);
        }
        if matches!(written.kind(), Kind::Message(_)) {
            return;
        }
        if written.supports_presence() && !read.supports_presence() {
            let default = Value::default_value(&written.kind());
            let finding = Finding {
                field: written.name(),
                rule: CompatibilityRule::Presence,
                change: "not set and set to the default were told apart".to_string(),
                written: message_with(written, default),
            };
            self.report(pair, finding);
        } else if !has_same_default(written, read) {
            let (old, new) = (written.default_value(), read.default_value());
            let finding = Finding {
                field: written.name(),
                rule: CompatibilityRule::Default,
                change: format!("where nothing is written {old:?} was meant, {new:?} is read"),
                written: empty(),
            };
            self.report(pair, finding);
        }
    }
}

/// Whether an absent field reads as the same value in both versions.
fn has_same_default(a: &FieldDescriptor, b: &FieldDescriptor) -> bool {
    let a = widened(a.default_value());
    let b = widened(b.default_value());
    match (&a, &b) {
        (Value::F64(x), Value::F64(y)) => x == y || x.is_nan() && y.is_nan(),
        (Value::F32(x), Value::F32(y)) => x == y || x.is_nan() && y.is_nan(),
        _ => a == b,
    }
}

/// The value in the widest type that it can be read as, so that defaults of compatible types compare as equal.
fn widened(value: Value) -> Value {
    match value {
        Value::I32(number) => Value::I64(number.into()),
        Value::U32(number) => Value::I64(number.into()),
        Value::U64(number) => i64::try_from(number).map_or(Value::U64(number), Value::I64),
        Value::String(text) => Value::Bytes(text.into_bytes().into()),
        other => other,
    }
}
