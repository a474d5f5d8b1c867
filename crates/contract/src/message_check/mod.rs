//! Checks whether the reader's version of a message keeps the meaning that the writer's version gives it.

mod enums;
mod fields;
mod oneofs;
mod unmatched;

use crate::samples::nested_message;
use crate::witness::{binary_witness, json_witness};
use crate::{CompatibilityLevel, CompatibilityRule, Direction, Incompatibility};
use prost_reflect::{DynamicMessage, FieldDescriptor, MessageDescriptor};
use std::collections::HashSet;

/// The check of one method's messages in one direction.
pub(crate) struct MessageCheck<'a> {
    level: CompatibilityLevel,
    direction: Direction,
    /// The method and its side, which start the path of each incompatibility.
    path_prefix: String,
    /// The type of the top-level message in the writer's version and in the reader's.
    root_writer: MessageDescriptor,
    root_reader: MessageDescriptor,
    /// The types that were checked already, so that recursive types are checked once.
    checked_types: HashSet<TypePair>,
    found: &'a mut Vec<Incompatibility>,
}

/// The full names of a message type in the writer's version and in the reader's.
#[derive(PartialEq, Eq, Hash)]
struct TypePair {
    writer: String,
    reader: String,
}

/// The type of the top-level message or of a nested one, in both versions.
struct MessagePair<'a> {
    /// The fields that lead to it from the top-level message.
    path: &'a [FieldDescriptor],
    writer: &'a MessageDescriptor,
    reader: &'a MessageDescriptor,
}

/// An incompatible change of a field.
struct Finding<'a> {
    field: &'a str,
    rule: CompatibilityRule,
    /// A description of the old and the new state.
    change: String,
    /// A message of the writer's type that the reader misreads.
    written: DynamicMessage,
}

impl MessageCheck<'_> {
    pub(crate) fn new(
        level: CompatibilityLevel,
        direction: Direction,
        path_prefix: String,
        root_writer: MessageDescriptor,
        root_reader: MessageDescriptor,
        found: &mut Vec<Incompatibility>,
    ) -> MessageCheck<'_> {
        MessageCheck {
            level,
            direction,
            path_prefix,
            root_writer,
            root_reader,
            checked_types: HashSet::new(),
            found,
        }
    }

    /// Checks the top-level message and all messages nested in it.
    pub(crate) fn run(&mut self) {
        let (writer, reader) = (self.root_writer.clone(), self.root_reader.clone());
        self.check_message(&MessagePair {
            path: &[],
            writer: &writer,
            reader: &reader,
        });
    }

    fn check_message(&mut self, pair: &MessagePair) {
        let types = TypePair {
            writer: pair.writer.full_name().to_string(),
            reader: pair.reader.full_name().to_string(),
        };
        if !self.checked_types.insert(types) {
            return;
        }
        for field in pair.writer.fields() {
            match pair.reader.get_field(field.number()) {
                Some(read) => self.check_field(pair, &field, &read),
                None => self.check_field_missing_in_reader(pair, &field),
            }
        }
        for field in pair.reader.fields() {
            if pair.writer.get_field(field.number()).is_none() {
                self.check_field_missing_in_writer(pair, &field);
            }
        }
        self.check_oneofs(pair);
    }

    fn report(&mut self, pair: &MessagePair, finding: Finding) {
        let root_message = nested_message(&self.root_writer, pair.path, finding.written);
        let witness = match finding.rule {
            CompatibilityRule::JsonName | CompatibilityRule::JsonForm => {
                json_witness(self.direction, &root_message, &self.root_reader)
            }
            _ => binary_witness(self.direction, &root_message, &self.root_reader),
        };
        let mut names: Vec<&str> = pair.path.iter().map(|field| field.name()).collect();
        names.push(finding.field);
        self.found.push(Incompatibility {
            path: format!("{} {}", self.path_prefix, names.join(".")),
            rule: finding.rule,
            change: finding.change,
            witness,
        });
    }

    /// The older version's message.
    fn older<'m>(&self, pair: &MessagePair<'m>) -> &'m MessageDescriptor {
        match self.direction {
            Direction::Request => pair.writer,
            Direction::Response => pair.reader,
        }
    }

    /// The newer version's message.
    fn newer<'m>(&self, pair: &MessagePair<'m>) -> &'m MessageDescriptor {
        match self.direction {
            Direction::Request => pair.reader,
            Direction::Response => pair.writer,
        }
    }
}

/// Describes a field whose name has another number in the reader's version.
fn describe_moved_number(field: &FieldDescriptor, moved: &FieldDescriptor) -> String {
    format!(
        "'{}' was number {}, and is {}",
        field.name(),
        field.number(),
        moved.number()
    )
}
