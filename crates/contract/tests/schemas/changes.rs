//! Random changes of schemas.

use super::{Field, Schema};
use proptest::prelude::*;

/// The number that every schema reserves before it is changed.
pub const RESERVED_NUMBER: u32 = 99;
/// Numbers that no schema uses before it is changed.
const ADDED_NUMBER: u32 = 40;
const MOVED_NUMBER: u32 = 41;
const ADDED_ENUM_NUMBER: i32 = 50;
const MOVED_ENUM_NUMBER: i32 = 60;

/// Descriptions of the kinds of changes, by [`Change::kind`].
pub const CHANGE_DESCRIPTIONS: [&str; 17] = [
    "add a field",
    "remove a field",
    "remove and reserve a field",
    "rename a field",
    "renumber a field",
    "change a type",
    "change a label",
    "move a field into or out of the oneof",
    "toggle `optional`",
    "change a default",
    "toggle `packed`",
    "add an enum value",
    "remove an enum value",
    "rename an enum value",
    "renumber an enum value",
    "use a reserved number",
    "swap two numbers",
];

/// A random change of a schema.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// An index of [`CHANGE_DESCRIPTIONS`].
    pub kind: u8,
    /// The position of the field or enum value, modulo their number.
    pub position: usize,
    /// The new kind, label or default of the field.
    pub new_value: u8,
    /// Whether the inner message is changed.
    pub is_inner: bool,
}

pub fn any_changes() -> impl Strategy<Value = Vec<Change>> {
    let change = (0u8..17, 0usize..8, 0u8..17, prop::bool::weighted(0.3));
    let change = change.prop_map(|(kind, position, new_value, is_inner)| Change {
        kind,
        position,
        new_value,
        is_inner,
    });
    prop::collection::vec(change, 1..4)
}

/// Applies a change if it is possible in the schema.
pub fn apply_change(schema: &mut Schema, change: Change) {
    match usize::from(change.kind) % CHANGE_DESCRIPTIONS.len() {
        0 => add_field(schema, change),
        1 | 2 => remove_field(schema, change),
        3..=10 => change_field(schema, change),
        11..=14 => change_enum(schema, change),
        15 => use_reserved_number(schema),
        16 => swap_numbers(schema, change),
        _ => {}
    }
    let outer = &schema.outer;
    schema
        .reserved_numbers
        .retain(|number| !outer.iter().any(|field| field.number == *number));
}

fn fields(schema: &mut Schema, change: Change) -> &mut Vec<Field> {
    if change.is_inner {
        &mut schema.inner
    } else {
        &mut schema.outer
    }
}

fn add_field(schema: &mut Schema, change: Change) {
    let fields = fields(schema, change);
    let template = fields[change.position % fields.len()].clone();
    fields.push(Field {
        name: "added".into(),
        number: ADDED_NUMBER,
        kind: change.new_value,
        is_in_oneof: false,
        ..template
    });
}

fn remove_field(schema: &mut Schema, change: Change) {
    let is_reserved = change.kind == 2;
    let fields = fields(schema, change);
    if fields.len() == 1 || is_reserved && change.is_inner {
        return;
    }
    let removed = fields.remove(change.position % fields.len());
    if is_reserved {
        schema.reserved_numbers.push(removed.number);
        schema.reserved_names.push(removed.name);
    }
}

fn change_field(schema: &mut Schema, change: Change) {
    let labels = if schema.is_proto2 { 4 } else { 2 };
    let fields = fields(schema, change);
    let index = change.position % fields.len();
    let field = &mut fields[index];
    match change.kind {
        3 => field.name = "renamed".into(),
        4 => field.number = MOVED_NUMBER,
        5 => field.kind = change.new_value,
        6 => field.label = change.new_value % labels,
        7 => field.is_in_oneof = !field.is_in_oneof,
        8 => field.is_optional = !field.is_optional,
        9 => field.default = change.new_value % 4,
        10 => field.is_packed = !field.is_packed,
        _ => {}
    }
}

fn change_enum(schema: &mut Schema, change: Change) {
    let values = &mut schema.enum_values;
    let count = values.len();
    match change.kind {
        11 => values.push(("ADDED".into(), ADDED_ENUM_NUMBER)),
        12 if count > 1 => drop(values.remove(1 + change.position % (count - 1))),
        13 => values[change.position % count].0 = "RENAMED".into(),
        14 if count > 1 => values[1 + change.position % (count - 1)].1 = MOVED_ENUM_NUMBER,
        _ => {}
    }
}

fn use_reserved_number(schema: &mut Schema) {
    let template = schema.outer[0].clone();
    schema.outer.push(Field {
        name: "reuses".into(),
        number: RESERVED_NUMBER,
        is_in_oneof: false,
        ..template
    });
}

fn swap_numbers(schema: &mut Schema, change: Change) {
    let fields = fields(schema, change);
    let first = change.position % fields.len();
    let second = (first + 1) % fields.len();
    if first == second {
        return;
    }
    let number = fields[first].number;
    fields[first].number = fields[second].number;
    fields[second].number = number;
}
