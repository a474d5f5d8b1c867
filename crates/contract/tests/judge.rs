//! The checker against a judge that does not know its rules: random schemas and random changes. What the checker admits is written
//! and read both ways with nothing lost or changed; each rejection's witness shows its break.

mod schemas;

use chalkdeck_contract::{check, Bounds, Break, Direction, Level, Rule, Version, Witness};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use prost::Message;
use prost_reflect::{
    Cardinality, DeserializeOptions, DynamicMessage, FieldDescriptor, Kind, MapKey,
    MessageDescriptor, Syntax, Value,
};
use schemas::{any_schema, change, Change, CHANGES};
use std::collections::{BTreeMap, HashMap};

/// Messages of a type, drawn by a seed: some fields set, some not, edges of numbers among them.
fn draw(of: &MessageDescriptor, rng: &mut fastrand_like::Rng, deep: u32) -> DynamicMessage {
    let mut message = DynamicMessage::new(of.clone());
    for f in of.fields() {
        let skip = rng.below(3) == 0 && f.cardinality() != Cardinality::Required;
        let deeper = matches!(f.kind(), Kind::Message(_)) && deep == 0;
        if skip || deeper && f.cardinality() != Cardinality::Required {
            continue;
        }
        let value = if f.is_map() {
            let entry = f.kind();
            let entry = entry.as_message().expect("an entry").clone();
            let value = one(&entry.map_entry_value_field().kind(), rng, deep);
            Value::Map(HashMap::from([(MapKey::String("k".into()), value)]))
        } else if f.is_list() {
            Value::List(
                (0..rng.below(4))
                    .map(|_| one(&f.kind(), rng, deep))
                    .collect(),
            )
        } else {
            one(&f.kind(), rng, deep)
        };
        message.set_field(&f, value);
    }
    message
}

fn one(kind: &Kind, rng: &mut fastrand_like::Rng, deep: u32) -> Value {
    let bits = [
        0,
        1,
        rng.next(),
        u64::MAX,
        1 << 31,
        1 << 63,
        127,
        (1 << 31) - 1,
    ][rng.below(8) as usize];
    match kind {
        Kind::Double => Value::F64((bits % 100_000) as f64 / 8.0),
        Kind::Float => Value::F32((bits % 1_000) as f32 / 8.0),
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(bits as i32),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(bits as i64),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(bits as u32),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(bits),
        Kind::Bool => Value::Bool(bits & 1 == 1),
        Kind::String => Value::String(if bits & 1 == 1 {
            "text".into()
        } else {
            String::new()
        }),
        Kind::Bytes => Value::Bytes(bits.to_le_bytes()[..(bits % 9) as usize].to_vec().into()),
        Kind::Message(m) => Value::Message(draw(m, rng, deep.saturating_sub(1))),
        Kind::Enum(e) => {
            let values: Vec<i32> = e.values().map(|v| v.number()).collect();
            Value::EnumNumber(values[rng.below(values.len() as u64) as usize])
        }
    }
}

/// Whether a value means the same to both; what a field's reader holds against what was written.
fn same(written: &Value, kind: &Kind, read: &Value, read_kind: &Kind, json: bool) -> bool {
    match (written, read) {
        (Value::List(a), Value::List(b)) => {
            a.len() == b.len()
                && a.iter()
                    .zip(b)
                    .all(|(a, b)| same(a, kind, b, read_kind, json))
        }
        (Value::Map(a), Value::Map(b)) => {
            let value = |k: &Kind| {
                k.as_message()
                    .expect("an entry")
                    .map_entry_value_field()
                    .kind()
            };
            let each = |(k, a): (&MapKey, &Value)| {
                b.get(k)
                    .is_some_and(|b| same(a, &value(kind), b, &value(read_kind), json))
            };
            a.len() == b.len() && a.iter().all(each)
        }
        (Value::Message(a), Value::Message(b)) => reads(a, b, json),
        (Value::EnumNumber(a), Value::EnumNumber(b)) => {
            let (Kind::Enum(w), Kind::Enum(r)) = (kind, read_kind) else {
                return false;
            };
            let names = |e: &prost_reflect::EnumDescriptor| -> Vec<String> {
                e.values()
                    .filter(|v| v.number() == *a)
                    .map(|v| v.name().to_string())
                    .collect()
            };
            let (w_names, r_names) = (names(w), names(r));
            // A closed enum's reader does not keep what it does not know; a known number stands for one thing.
            let known = !r_names.is_empty();
            let closed = r.parent_file().syntax() == Syntax::Proto2;
            let moved = w_names
                .iter()
                .any(|n| r.get_value_by_name(n).is_some_and(|v| v.number() != *a));
            a == b
                && !moved
                && if known {
                    w_names.iter().any(|n| r_names.contains(n))
                } else {
                    !closed
                }
        }
        (Value::String(a), Value::Bytes(b)) => a.as_bytes() == &b[..],
        (Value::F32(a), Value::F32(b)) => a.to_bits() == b.to_bits(),
        (Value::F64(a), Value::F64(b)) => a.to_bits() == b.to_bits(),
        (a, b) => match (whole(a), whole(b)) {
            (Some(a), Some(b)) => a == b,
            _ => a == b,
        },
    }
}

fn whole(v: &Value) -> Option<i128> {
    match v {
        Value::I32(n) => Some((*n).into()),
        Value::I64(n) => Some((*n).into()),
        Value::U32(n) => Some((*n).into()),
        Value::U64(n) => Some((*n).into()),
        _ => None,
    }
}

/// Whether a reader's message holds what its writer's does, field by field.
fn reads(w: &DynamicMessage, r: &DynamicMessage, json: bool) -> bool {
    use prost_reflect::ReflectMessage;
    let (wd, rd) = (w.descriptor(), r.descriptor());
    let held = wd.fields().all(|f| {
        let Some(g) = rd.get_field(f.number()) else {
            // Kept among the unknown ones, where the reader set the number aside or is the older one.
            return json
                || !w.has_field(&f)
                || r.unknown_fields().any(|u| u.number() == f.number());
        };
        let single = |f: &FieldDescriptor| !f.is_list() && !f.is_map();
        let told_apart = single(&f) && f.supports_presence();
        let presence = !told_apart || !single(&g) || w.has_field(&f) == r.has_field(&g) || {
            // A field without presence is there when it differs from its default.
            !g.supports_presence() && !w.has_field(&f)
        };
        // A message that is not there has nothing that could be read otherwise.
        let absent = single(&f) && matches!(f.kind(), Kind::Message(_)) && !w.has_field(&f);
        if absent {
            return !r.has_field(&g);
        }
        presence
            && f.is_map() == g.is_map()
            && same(
                &w.get_field(&f),
                &f.kind(),
                &r.get_field(&g),
                &g.kind(),
                json,
            )
    });
    let nothing_else = rd
        .fields()
        .all(|g| wd.get_field(g.number()).is_some() || !r.has_field(&g));
    let required = rd
        .fields()
        .all(|g| g.cardinality() != Cardinality::Required || r.has_field(&g));
    held && nothing_else && required
}

/// Written, read, written again by the reader, read by the writer.
fn agree(w: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    use prost_reflect::ReflectMessage;
    let Ok(r) = DynamicMessage::decode(reader.clone(), &w.encode_to_vec()[..]) else {
        return false;
    };
    let Ok(back) = DynamicMessage::decode(w.descriptor(), &r.encode_to_vec()[..]) else {
        return false;
    };
    reads(w, &r, false) && reads(w, &back, false)
}

/// The same by JSON, whose readers pass names over that they do not know.
fn agree_in_json(w: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    use prost_reflect::ReflectMessage;
    let options = DeserializeOptions::new().deny_unknown_fields(false);
    let read = |text: &str, of: &MessageDescriptor| {
        let mut source = serde_json::Deserializer::from_str(text);
        DynamicMessage::deserialize_with_options(of.clone(), &mut source, &options).ok()
    };
    let Ok(text) = serde_json::to_string(w) else {
        return true;
    };
    let Some(r) = read(&text, reader) else {
        return false;
    };
    let wd = w.descriptor();
    let in_both = wd.fields().all(|f| {
        let Some(g) = reader.get_field(f.number()) else {
            return true;
        };
        if matches!(f.kind(), Kind::Message(_)) && !f.is_list() && !f.is_map() && !w.has_field(&f) {
            return true;
        }
        same(
            &w.get_field(&f),
            &f.kind(),
            &r.get_field(&g),
            &g.kind(),
            true,
        )
    });
    in_both
}

fn types(
    old: &Version,
    new: &Version,
    direction: Direction,
) -> (MessageDescriptor, MessageDescriptor) {
    let of = |v: &Version| v.service.methods().next().expect("the method");
    match direction {
        Direction::Request => (of(old).input(), of(new).input()),
        Direction::Answer => (of(new).output(), of(old).output()),
    }
}

/// Whether a witness shows its break to the judge.
fn shows(b: &Break, old: &Version, new: &Version) -> bool {
    let Witness::Message {
        direction, bytes, ..
    } = &b.witness
    else {
        return true;
    };
    let (writer, reader) = types(old, new, *direction);
    let w = DynamicMessage::decode(writer, &bytes[..]).expect("its writer reads it");
    match b.rule {
        // What was written is not seen by its reader, or what was always written is not written any more.
        Rule::FieldRemoved | Rule::NumberMoved => {
            let r = DynamicMessage::decode(reader, &bytes[..]);
            let gone = *direction == Direction::Answer && b.rule == Rule::FieldRemoved;
            gone || r.map_or(true, |r| {
                deep_unknown(&r) || !reads(&w, &r, false) || other_name(&w, &r)
            })
        }
        Rule::NumberReused => {
            // Answers of the new publisher, or what was written long ago, mean something else to their reader.
            let r = DynamicMessage::decode(reader, &bytes[..]);
            r.map_or(true, |r| {
                !reads(&w, &r, false) || deep_unknown(&r) || w.unknown_fields().count() > 0
            })
        }
        Rule::JsonName | Rule::JsonForm => !strictly_in_json(&w, &reader),
        _ => !agree(&w, &reader) || !agree_in_json(&w, &reader),
    }
}

/// Whether a reader that keeps to its schema takes the JSON form and reads the same.
fn strictly_in_json(w: &DynamicMessage, reader: &MessageDescriptor) -> bool {
    let text = serde_json::to_string(w).expect("it has a JSON form");
    let mut source = serde_json::Deserializer::from_str(&text);
    DynamicMessage::deserialize(reader.clone(), &mut source).is_ok() && agree_in_json(w, reader)
}

/// Whether something that was written is read under another name.
fn other_name(w: &DynamicMessage, r: &DynamicMessage) -> bool {
    use prost_reflect::ReflectMessage;
    let within = |a: &Value, b: &Value| match (a, b) {
        (Value::Message(a), Value::Message(b)) => other_name(a, b),
        (Value::List(a), Value::List(b)) => a.iter().zip(b).any(|(a, b)| match (a, b) {
            (Value::Message(a), Value::Message(b)) => other_name(a, b),
            _ => false,
        }),
        (Value::Map(a), Value::Map(b)) => a.iter().any(|(k, a)| match (a, b.get(k)) {
            (Value::Message(a), Some(Value::Message(b))) => other_name(a, b),
            _ => false,
        }),
        _ => false,
    };
    w.fields().any(|(f, value)| {
        let Some(g) = r.descriptor().get_field(f.number()) else {
            return false;
        };
        f.name() != g.name() || within(value, &r.get_field(&g))
    })
}

fn deep_unknown(m: &DynamicMessage) -> bool {
    let within = |v: &Value| match v {
        Value::Message(m) => deep_unknown(m),
        Value::List(l) => l
            .iter()
            .any(|v| matches!(v, Value::Message(m) if deep_unknown(m))),
        Value::Map(l) => l
            .values()
            .any(|v| matches!(v, Value::Message(m) if deep_unknown(m))),
        _ => false,
    };
    m.unknown_fields().count() > 0 || m.fields().any(|(_, v)| within(v))
}

/// A small generator, so that a failing case is told by its seed alone.
mod fastrand_like {
    pub struct Rng(pub u64);
    impl Rng {
        pub fn next(&mut self) -> u64 {
            self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            x ^ (x >> 31)
        }
        pub fn below(&mut self, n: u64) -> u64 {
            self.next() % n.max(1)
        }
    }
}

#[test]
fn what_is_admitted_is_read_and_what_is_rejected_is_shown() {
    let cases = std::env::var("CASES")
        .ok()
        .and_then(|c| c.parse().ok())
        .unwrap_or(3_000);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    });
    let changes = prop::collection::vec(
        (0u8..17, 0usize..8, 0u8..17, prop::bool::weighted(0.3)),
        1..4,
    );
    let drawn = std::cell::RefCell::new(BTreeMap::<&str, (usize, usize, usize)>::new());
    let rules = std::cell::RefCell::new(BTreeMap::<Rule, usize>::new());
    let strategy = (any_schema(), changes, any::<u64>(), any::<bool>());
    let result = runner.run(&strategy, |(schema, changes, seed, json)| {
        let mut later = schema.clone();
        for (kind, at, to, inner) in &changes {
            change(
                &mut later,
                Change {
                    kind: *kind,
                    at: *at,
                    to: *to,
                    inner: *inner,
                },
            );
        }
        let (Some(old), Some(new)) = (schema.version("old"), later.version("new")) else {
            return Ok(());
        };
        let level = if json {
            Level::WireAndJson
        } else {
            Level::Wire
        };
        let breaks = check(&old, &new, level, Bounds::default());
        for (kind, ..) in &changes {
            let mut drawn = drawn.borrow_mut();
            let count = drawn.entry(CHANGES[usize::from(*kind)]).or_default();
            (count.0, count.1) = (count.0 + 1, count.1 + usize::from(breaks.is_empty()));
            count.2 += usize::from(later == schema);
        }
        for b in &breaks {
            *rules.borrow_mut().entry(b.rule).or_default() += 1;
            prop_assert!(
                shows(b, &old, &new),
                "its witness shows nothing: {b}\nold {schema:?}\nnew {later:?}"
            );
        }
        if breaks.is_empty() {
            let mut rng = fastrand_like::Rng(seed);
            for direction in [Direction::Request, Direction::Answer] {
                let (writer, reader) = types(&old, &new, direction);
                for _ in 0..12 {
                    let w = draw(&writer, &mut rng, 2);
                    prop_assert!(
                        agree(&w, &reader),
                        "{direction:?} {w:?}\nold {schema:?}\nnew {later:?}"
                    );
                    if json {
                        prop_assert!(
                            agree_in_json(&w, &reader),
                            "json {direction:?} {w:?}\nold {schema:?}\nnew {later:?}"
                        );
                    }
                }
            }
        }
        Ok(())
    });
    for (kind, (count, admitted, none)) in drawn.borrow().iter() {
        println!("{kind}: {count} drawn, {admitted} admitted, {none} without effect");
    }
    println!("{:?}", rules.borrow());
    result.unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        drawn.borrow().len(),
        CHANGES.len(),
        "every kind of change was drawn"
    );
    assert!(rules.borrow().len() >= 13, "{:?}", rules.borrow());
}
