//! Errors in an input, with the line and the field.

use super::{MAX_DEMAND_ENTRIES, MAX_SITES, MIN_SITES};
use std::fmt;

/// An invalid input.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {problem}")]
pub struct InputError {
    /// The file's name as the user gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong in that line.
    pub problem: InputProblem,
}

/// The path of a field in the input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldPath {
    /// A top-level field.
    TopLevel(&'static str),
    /// A field of one element of a repeated field.
    Element {
        /// The repeated field.
        list: &'static str,
        /// The element's position, counted from 0.
        index: usize,
        /// The element's field.
        field: &'static str,
    },
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldPath::TopLevel(field) => f.write_str(field),
            FieldPath::Element { list, index, field } => write!(f, "{list}[{index}].{field}"),
        }
    }
}

/// What is wrong with an input.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InputProblem {
    /// The text cannot be parsed as an input message.
    #[error("{0}")]
    Syntax(String),
    /// A number is negative or not finite.
    #[error("{path}: expected a number of 0 or more, found {found}")]
    InvalidNumber {
        /// The field.
        path: FieldPath,
        /// The number.
        found: f64,
    },
    /// A name is empty or already used by an earlier element.
    #[error("{path}: expected a name of its own, found '{found}'")]
    InvalidName {
        /// The field.
        path: FieldPath,
        /// The name.
        found: String,
    },
    /// A repeated field is empty.
    #[error("{0}: expected at least one")]
    Empty(&'static str),
    /// There are too few or too many sites.
    #[error("sites: expected {MIN_SITES} to {MAX_SITES}, found {0}")]
    SiteCount(usize),
    /// There are too many demand entries.
    #[error("demand: expected at most {MAX_DEMAND_ENTRIES}")]
    TooManyDemandEntries,
    /// The crossing cost is the whole value of a call or more.
    #[error("crossing_cost: expected less than 1, found {0}")]
    CrossingCost(f64),
    /// A site has no capacity.
    #[error("{0}: expected units a second above 0, found 0")]
    NoCapacity(FieldPath),
    /// No site has a gateway.
    #[error("{0}: expected some at one site at the least, found none")]
    NoGateways(FieldPath),
    /// A demand entry names a class that the input does not define.
    #[error("{path}: expected a class above, found '{found}'")]
    UnknownClass {
        /// The field.
        path: FieldPath,
        /// The class.
        found: String,
    },
    /// A demand entry names a plan that the input does not define.
    #[error("{path}: expected a plan above, found '{found}'")]
    UnknownPlan {
        /// The field.
        path: FieldPath,
        /// The plan.
        found: String,
    },
    /// An earlier demand entry has the same class and plan.
    #[error("{path}: '{class}' of '{plan}' stands above")]
    DuplicateDemand {
        /// The field.
        path: FieldPath,
        /// The class.
        class: String,
        /// The plan.
        plan: String,
    },
    /// All rates are zero.
    #[error("demand: expected some rate above 0")]
    NoDemand,
}
