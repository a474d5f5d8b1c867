//! Checks that fields that could be set together do not become exclusive.

use super::{Finding, MessageCheck, MessagePair};
use crate::samples::{sample_field_with_one_element, sample_message};
use crate::CompatibilityRule;
use prost_reflect::FieldDescriptor;

impl MessageCheck<'_> {
    pub(super) fn check_oneofs(&mut self, pair: &MessagePair) {
        for oneof in pair.reader.oneofs().filter(|oneof| !oneof.is_synthetic()) {
            let written: Vec<FieldDescriptor> = oneof
                .fields()
                .filter_map(|field| pair.writer.get_field(field.number()))
                .collect();
            let Some((first, second)) = find_independent(&written) else {
                continue;
            };
            let mut both = sample_message(first);
            both.set_field(second, sample_field_with_one_element(second));
            let change = format!(
                "'{}' and '{}' could both be set, and now stand in oneof '{}'",
                first.name(),
                second.name(),
                oneof.name()
            );
            let finding = Finding {
                field: first.name(),
                rule: CompatibilityRule::Oneof,
                change,
                written: both,
            };
            self.report(pair, finding);
        }
    }
}

/// The first two fields that can both be set, as they are not in the same oneof.
fn find_independent(fields: &[FieldDescriptor]) -> Option<(&FieldDescriptor, &FieldDescriptor)> {
    for (index, first) in fields.iter().enumerate() {
        let oneof = oneof_name(first);
        let is_independent =
            |second: &&FieldDescriptor| oneof.is_none() || oneof != oneof_name(second);
        if let Some(second) = fields[index + 1..].iter().find(is_independent) {
            return Some((first, second));
        }
    }
    None
}

/// The full name of the oneof that a field belongs to. The synthetic oneofs of optional proto3 fields do not count.
fn oneof_name(field: &FieldDescriptor) -> Option<String> {
    let oneof = field.containing_oneof()?;
    (!oneof.is_synthetic()).then(|| oneof.full_name().to_string())
}
