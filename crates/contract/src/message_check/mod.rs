//! The check of one message as its writer means it, read by another version's descriptors.

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
    /// The method and its side, with which all paths begin.
    place: String,
    /// The type of the whole message at its writer and at its reader.
    root_writer: MessageDescriptor,
    root_reader: MessageDescriptor,
    compared: HashSet<TypePair>,
    found: &'a mut Vec<Incompatibility>,
}

/// The full names of a type at the writer and at the reader.
#[derive(PartialEq, Eq, Hash)]
struct TypePair {
    writer: String,
    reader: String,
}

/// A message within the whole one, in both versions.
struct MessagePair<'a> {
    /// The fields that lead to it.
    path: &'a [FieldDescriptor],
    writer: &'a MessageDescriptor,
    reader: &'a MessageDescriptor,
}

/// What is to be reported of a field.
struct Finding<'a> {
    field: &'a str,
    rule: CompatibilityRule,
    /// What was and what is proposed.
    change: String,
    /// A message of the writer that shows it.
    written: DynamicMessage,
}

impl MessageCheck<'_> {
    pub(crate) fn new(
        level: CompatibilityLevel,
        direction: Direction,
        place: String,
        root_writer: MessageDescriptor,
        root_reader: MessageDescriptor,
        found: &mut Vec<Incompatibility>,
    ) -> MessageCheck<'_> {
        MessageCheck {
            level,
            direction,
            place,
            root_writer,
            root_reader,
            compared: HashSet::new(),
            found,
        }
    }

    /// Checks the whole message and all messages in it.
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
        if !self.compared.insert(types) {
            return;
        }
        for field in pair.writer.fields() {
            match pair.reader.get_field(field.number()) {
                Some(read) => self.check_field(pair, &field, &read),
                None => self.check_field_without_reader(pair, &field),
            }
        }
        for field in pair.reader.fields() {
            if pair.writer.get_field(field.number()).is_none() {
                self.check_field_without_writer(pair, &field);
            }
        }
        self.check_oneofs(pair);
    }

    fn report(&mut self, pair: &MessagePair, finding: Finding) {
        let whole = nested_message(&self.root_writer, pair.path, finding.written);
        let witness = match finding.rule {
            CompatibilityRule::JsonName | CompatibilityRule::JsonForm => {
                json_witness(self.direction, &whole, &self.root_reader)
            }
            _ => binary_witness(self.direction, &whole, &self.root_reader),
        };
        let mut names: Vec<&str> = pair.path.iter().map(|field| field.name()).collect();
        names.push(finding.field);
        self.found.push(Incompatibility {
            path: format!("{} {}", self.place, names.join(".")),
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

/// What is reported of a field whose name has another number at the reader.
fn moved_number(field: &FieldDescriptor, moved: &FieldDescriptor) -> String {
    format!(
        "'{}' was number {}, and is {}",
        field.name(),
        field.number(),
        moved.number()
    )
}
