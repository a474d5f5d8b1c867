//! One message as its writer means it, read by another version's descriptors.

use crate::breaks::{Break, Direction, Rule};
use crate::types::{fit, holds, name, Fit, Holds};
use crate::version::Level;
use crate::witness::{held, nested, of_number, shown, shown_in_json, telling};
use prost_reflect::{
    DynamicMessage, EnumDescriptor, FieldDescriptor, Kind, MessageDescriptor, Syntax, Value,
};
use std::collections::HashSet;

/// Reads of one method in one direction.
pub(crate) struct Reads<'a> {
    pub(crate) level: Level,
    pub(crate) direction: Direction,
    /// Method, and request or answer.
    pub(crate) place: String,
    /// What the method takes or gives, by the writer and the reader.
    pub(crate) roots: (MessageDescriptor, MessageDescriptor),
    /// Pairs that were compared.
    pub(crate) seen: HashSet<(String, String)>,
    pub(crate) out: &'a mut Vec<Break>,
}

/// A field at its place, in both versions.
struct Pair<'a> {
    path: &'a [FieldDescriptor],
    writer: &'a MessageDescriptor,
    reader: &'a MessageDescriptor,
}

impl Reads<'_> {
    /// Begins with the whole messages.
    pub(crate) fn all(&mut self) {
        let (writer, reader) = self.roots.clone();
        self.message(&writer, &reader, &[]);
    }

    /// The older version's message and the newer one's.
    fn by_age<'m>(
        &self,
        writer: &'m MessageDescriptor,
        reader: &'m MessageDescriptor,
    ) -> (&'m MessageDescriptor, &'m MessageDescriptor) {
        match self.direction {
            Direction::Request => (writer, reader),
            Direction::Answer => (reader, writer),
        }
    }

    fn message(
        &mut self,
        writer: &MessageDescriptor,
        reader: &MessageDescriptor,
        path: &[FieldDescriptor],
    ) {
        if !self.seen.insert((
            writer.full_name().to_string(),
            reader.full_name().to_string(),
        )) {
            return;
        }
        let pair = Pair {
            path,
            writer,
            reader,
        };
        for field in writer.fields() {
            match reader.get_field(field.number()) {
                Some(other) => self.field(&pair, &field, &other),
                None => self.only_written(&pair, &field),
            }
        }
        for field in reader
            .fields()
            .filter(|f| writer.get_field(f.number()).is_none())
        {
            self.only_read(&pair, &field);
        }
        self.oneofs(&pair);
    }

    fn say(&mut self, pair: &Pair, field: &str, rule: Rule, what: String, written: DynamicMessage) {
        let whole = nested(&self.roots.0, pair.path, written);
        let witness = match rule {
            Rule::JsonName | Rule::JsonForm => shown_in_json(self.direction, &whole, &self.roots.1),
            _ => shown(self.direction, &whole, &self.roots.1),
        };
        let names = pair
            .path
            .iter()
            .map(|f| f.name().to_string())
            .chain([field.to_string()]);
        let path = format!("{} {}", self.place, names.collect::<Vec<_>>().join("."));
        self.out.push(Break {
            path,
            rule,
            what,
            witness,
        });
    }

    /// A message of the writer with one field set.
    fn with(&self, field: &FieldDescriptor, value: Value) -> DynamicMessage {
        let mut message = DynamicMessage::new(field.parent_message().clone());
        message.set_field(field, value);
        message
    }
    fn telling(&self, field: &FieldDescriptor) -> DynamicMessage {
        self.with(field, held(field, telling(&field.kind()), true))
    }

    /// The writer has a field that the reader has not.
    fn only_written(&mut self, pair: &Pair, field: &FieldDescriptor) {
        let (older, newer) = self.by_age(pair.writer, pair.reader);
        let aside =
            |m: &MessageDescriptor| m.reserved_ranges().any(|r| r.contains(&field.number()));
        let written = self.telling(field);
        if let Some(moved) = pair.reader.get_field_by_name(field.name()) {
            let what = format!(
                "'{}' was number {}, and is {}",
                field.name(),
                field.number(),
                moved.number()
            );
            return self.say(pair, field.name(), Rule::NumberMoved, what, written);
        }
        if self.direction == Direction::Request && !aside(newer) {
            let what = format!("number {} is gone and not reserved", field.number());
            return self.say(pair, field.name(), Rule::FieldRemoved, what, written);
        }
        if self.direction == Direction::Answer && aside(older) {
            let what = format!("number {} was reserved", field.number());
            return self.say(pair, field.name(), Rule::NumberReused, what, written);
        }
        // A reader of JSON that keeps to the schema refuses names that it does not know.
        if self.direction == Direction::Request && self.level == Level::WireAndJson {
            let named = newer.reserved_names().any(|n| n == field.name());
            if !named {
                let what = format!("name '{}' is gone and not reserved", field.name());
                self.say(pair, field.name(), Rule::JsonName, what, written);
            }
        }
    }

    /// The reader has a field that the writer has not.
    fn only_read(&mut self, pair: &Pair, field: &FieldDescriptor) {
        let (older, newer) = self.by_age(pair.writer, pair.reader);
        let aside =
            |m: &MessageDescriptor| m.reserved_ranges().any(|r| r.contains(&field.number()));
        let empty = DynamicMessage::new(pair.writer.clone());
        if field.is_required() {
            let what = format!("'{}' is required and never written", field.name());
            return self.say(pair, field.name(), Rule::Required, what, empty);
        }
        if pair.writer.get_field_by_name(field.name()).is_some() {
            return; // Told where its writer's number was looked at.
        }
        if self.direction == Direction::Request && aside(older) {
            let what = format!("number {} was reserved", field.number());
            let early = of_number(pair.writer, field.number());
            self.say(pair, field.name(), Rule::NumberReused, what, early);
        } else if self.direction == Direction::Answer && !aside(newer) {
            let what = format!("number {} is gone and not reserved", field.number());
            self.say(pair, field.name(), Rule::FieldRemoved, what, empty);
        }
    }

    /// Fields that could stand together must not shut each other out.
    fn oneofs(&mut self, pair: &Pair) {
        for group in pair.reader.oneofs().filter(|o| !o.is_synthetic()) {
            let fields: Vec<FieldDescriptor> = group
                .fields()
                .filter_map(|f| pair.writer.get_field(f.number()))
                .collect();
            let real = |f: &FieldDescriptor| {
                f.containing_oneof()
                    .filter(|o| !o.is_synthetic())
                    .map(|o| o.full_name().to_string())
            };
            let apart = fields.iter().enumerate().find_map(|(i, a)| {
                let other = fields[i + 1..]
                    .iter()
                    .find(|b| real(a).is_none() || real(a) != real(b))?;
                Some((a.clone(), other.clone()))
            });
            let Some((a, b)) = apart else { continue };
            let mut both = self.telling(&a);
            both.set_field(&b, held(&b, telling(&b.kind()), false));
            let what = format!(
                "'{}' and '{}' could both be set, and now stand in oneof '{}'",
                a.name(),
                b.name(),
                group.name()
            );
            self.say(pair, a.name(), Rule::Oneof, what, both);
        }
    }

    fn field(&mut self, pair: &Pair, field: &FieldDescriptor, other: &FieldDescriptor) {
        let written = self.telling(field);
        if holds(field) != holds(other) {
            let what = format!("{:?} was written, {:?} is read", holds(field), holds(other))
                .to_lowercase();
            return self.say(pair, field.name(), Rule::Cardinality, what, written);
        }
        let (kind, read) = (field.kind(), other.kind());
        let groups = field.is_group() != other.is_group();
        match fit(&kind, &read, self.level) {
            Fit::Same if !groups => {}
            Fit::NotInJson if !groups => {
                let what = format!("{} was written, {} is read", name(&kind), name(&read));
                return self.say(pair, field.name(), Rule::JsonForm, what, written);
            }
            _ => {
                let what = format!("{} was written, {} is read", name(&kind), name(&read));
                return self.say(pair, field.name(), Rule::Type, what, written);
            }
        }
        self.name_of(pair, field, other, written);
        self.presence(pair, field, other);
        match (&kind, &read) {
            (Kind::Message(w), Kind::Message(r)) => {
                let path: Vec<FieldDescriptor> =
                    pair.path.iter().cloned().chain([field.clone()]).collect();
                self.message(w, r, &path);
            }
            (Kind::Enum(w), Kind::Enum(r)) => self.values(pair, field, w, r),
            _ => {}
        }
    }

    fn name_of(
        &mut self,
        pair: &Pair,
        field: &FieldDescriptor,
        other: &FieldDescriptor,
        written: DynamicMessage,
    ) {
        if field.name() == other.name() && field.json_name() == other.json_name() {
            return;
        }
        // The old name under a new number: what was written there is read as something else.
        let elsewhere = pair
            .reader
            .get_field_by_name(field.name())
            .filter(|f| f.number() != field.number());
        if let Some(moved) = elsewhere {
            let what = format!(
                "'{}' was number {}, and is {}",
                field.name(),
                field.number(),
                moved.number()
            );
            self.say(pair, field.name(), Rule::NumberMoved, what, written);
        } else if self.level == Level::WireAndJson {
            let what = format!(
                "'{}' was written, '{}' is read",
                field.json_name(),
                other.json_name()
            );
            self.say(pair, field.name(), Rule::JsonName, what, written);
        }
    }

    fn presence(&mut self, pair: &Pair, field: &FieldDescriptor, other: &FieldDescriptor) {
        if holds(field) != Holds::One {
            return;
        }
        if other.is_required() && !field.is_required() {
            let what = format!("'{}' is required and not always written", other.name());
            let empty = DynamicMessage::new(pair.writer.clone());
            self.say(pair, field.name(), Rule::Required, what, empty);
        }
        let plain = !matches!(field.kind(), Kind::Message(_));
        if plain && field.supports_presence() && !other.supports_presence() {
            let written = self.with(field, Value::default_value(&field.kind()));
            let what = "not set and set to the default were told apart".to_string();
            self.say(pair, field.name(), Rule::Presence, what, written);
        } else if plain && !same_default(field, other) {
            let what = format!(
                "where nothing is written {:?} was meant, {:?} is read",
                field.default_value(),
                other.default_value()
            );
            let empty = DynamicMessage::new(pair.writer.clone());
            self.say(pair, field.name(), Rule::Default, what, empty);
        }
    }

    fn values(
        &mut self,
        pair: &Pair,
        field: &FieldDescriptor,
        writer: &EnumDescriptor,
        reader: &EnumDescriptor,
    ) {
        let closed = reader.parent_file().syntax() == Syntax::Proto2;
        for value in writer.values() {
            let names: Vec<String> = reader
                .values()
                .filter(|v| v.number() == value.number())
                .map(|v| v.name().to_string())
                .collect();
            let one = || held_enum(field, value.number());
            if names.is_empty() {
                let moved = reader.get_value_by_name(value.name());
                let what = match &moved {
                    Some(moved) => {
                        format!(
                            "'{}' was {}, and is {}",
                            value.name(),
                            value.number(),
                            moved.number()
                        )
                    }
                    None => format!(
                        "value {} '{}' is not known to its reader",
                        value.number(),
                        value.name()
                    ),
                };
                if moved.is_some() {
                    self.say(
                        pair,
                        field.name(),
                        Rule::EnumReused,
                        what,
                        self.with(field, one()),
                    );
                } else if closed || self.level == Level::WireAndJson {
                    self.say(
                        pair,
                        field.name(),
                        Rule::EnumValue,
                        what,
                        self.with(field, one()),
                    );
                }
            } else if !names.iter().any(|n| n == value.name())
                && !writer_has(writer, value.number(), &names)
            {
                let what = format!(
                    "number {} was '{}', and is '{}'",
                    value.number(),
                    value.name(),
                    names[0]
                );
                self.say(
                    pair,
                    field.name(),
                    Rule::EnumReused,
                    what,
                    self.with(field, one()),
                );
            }
        }
    }
}

/// Whether the writer has an alias of a number that the reader knows.
fn writer_has(writer: &EnumDescriptor, number: i32, names: &[String]) -> bool {
    writer
        .values()
        .any(|v| v.number() == number && names.iter().any(|n| n == v.name()))
}

fn held_enum(field: &FieldDescriptor, number: i32) -> Value {
    match holds(field) {
        Holds::Many => Value::List(vec![Value::EnumNumber(number)]),
        _ => Value::EnumNumber(number),
    }
}

/// Whether both read the same where nothing was written.
fn same_default(a: &FieldDescriptor, b: &FieldDescriptor) -> bool {
    let plain = |v: Value| match v {
        Value::I32(n) => Value::I64(n.into()),
        Value::U32(n) => Value::I64(n.into()),
        Value::U64(n) if n <= i64::MAX as u64 => Value::I64(n as i64),
        Value::String(s) => Value::Bytes(s.into_bytes().into()),
        other => other,
    };
    let (a, b) = (plain(a.default_value()), plain(b.default_value()));
    match (&a, &b) {
        (Value::F64(x), Value::F64(y)) => x == y || x.is_nan() && y.is_nan(),
        (Value::F32(x), Value::F32(y)) => x == y || x.is_nan() && y.is_nan(),
        _ => a == b,
    }
}
