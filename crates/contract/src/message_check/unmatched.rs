//! Checks fields whose numbers only the writer or only the reader has.

use super::{describe_moved_number, Finding, MessageCheck, MessagePair};
use crate::samples::{message_with_unknown_field, sample_message};
use crate::{CompatibilityLevel, CompatibilityRule, Direction};
use prost_reflect::{DynamicMessage, FieldDescriptor, MessageDescriptor};

impl MessageCheck<'_> {
    /// Checks a field of the writer whose number the reader does not have.
    pub(super) fn check_field_missing_in_reader(
        &mut self,
        pair: &MessagePair,
        field: &FieldDescriptor,
    ) {
        let (rule, change) = if let Some(moved) = pair.reader.get_field_by_name(field.name()) {
            let change = describe_moved_number(field, &moved);
            (CompatibilityRule::NumberMoved, change)
        } else if self.is_removed_unreserved(pair, field) {
            (
                CompatibilityRule::FieldRemoved,
                describe_unreserved_number(field),
            )
        } else if self.is_reserved_earlier(pair, field) {
            (
                CompatibilityRule::NumberReused,
                describe_reserved_number(field),
            )
        } else if self.is_unknown_json_name(pair, field) {
            let change = format!("name '{}' is gone and not reserved", field.name());
            (CompatibilityRule::JsonName, change)
        } else {
            return;
        };
        let finding = Finding {
            field: field.name(),
            rule,
            change,
            written: sample_message(field),
        };
        self.report(pair, finding);
    }

    /// Whether an old request has a field that was removed without its number being reserved.
    fn is_removed_unreserved(&self, pair: &MessagePair, field: &FieldDescriptor) -> bool {
        self.direction == Direction::Request && !is_reserved(self.newer(pair), field)
    }

    /// Whether a new response has a field whose number the old version reserved.
    fn is_reserved_earlier(&self, pair: &MessagePair, field: &FieldDescriptor) -> bool {
        self.direction == Direction::Response && is_reserved(self.older(pair), field)
    }

    /// Whether an old request has a field name that a strict JSON reader rejects as unknown.
    fn is_unknown_json_name(&self, pair: &MessagePair, field: &FieldDescriptor) -> bool {
        let mut reserved_names = self.newer(pair).reserved_names();
        self.direction == Direction::Request
            && self.level == CompatibilityLevel::WireAndJson
            && !reserved_names.any(|name| name == field.name())
    }

    /// Checks a field of the reader whose number the writer does not have.
    pub(super) fn check_field_missing_in_writer(
        &mut self,
        pair: &MessagePair,
        field: &FieldDescriptor,
    ) {
        let empty = DynamicMessage::new(pair.writer.clone());
        let (rule, change, written) = if field.is_required() {
            let change = format!("'{}' is required and never written", field.name());
            (CompatibilityRule::Required, change, empty)
        } else if pair.writer.get_field_by_name(field.name()).is_some() {
            // The change of the number was already reported for the writer's field.
            return;
        } else if self.direction == Direction::Request && is_reserved(self.older(pair), field) {
            let earlier = message_with_unknown_field(pair.writer, field.number());
            (
                CompatibilityRule::NumberReused,
                describe_reserved_number(field),
                earlier,
            )
        } else if self.direction == Direction::Response && !is_reserved(self.newer(pair), field) {
            (
                CompatibilityRule::FieldRemoved,
                describe_unreserved_number(field),
                empty,
            )
        } else {
            return;
        };
        let finding = Finding {
            field: field.name(),
            rule,
            change,
            written,
        };
        self.report(pair, finding);
    }
}

/// Whether the message has reserved the field's number.
fn is_reserved(message: &MessageDescriptor, field: &FieldDescriptor) -> bool {
    let mut ranges = message.reserved_ranges();
    ranges.any(|range| range.contains(&field.number()))
}

fn describe_unreserved_number(field: &FieldDescriptor) -> String {
    format!("number {} is gone and not reserved", field.number())
}

fn describe_reserved_number(field: &FieldDescriptor) -> String {
    format!("number {} was reserved", field.number())
}
