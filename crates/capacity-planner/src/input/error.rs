//! What is wrong with an input, and where.

use super::{MAX_DEMAND, MAX_SITES, MIN_SITES};
use std::fmt;

/// An invalid input.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {problem}")]
pub struct InputError {
    /// The file as it was given.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there.
    pub problem: InputProblem,
}

/// A field of the input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// A field of the input itself.
    Field(&'static str),
    /// A field of one element of a repeated field.
    Element {
        /// The repeated field.
        list: &'static str,
        /// The element's position, from 0.
        index: usize,
        /// The element's field.
        field: &'static str,
    },
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Field(field) => f.write_str(field),
            Place::Element { list, index, field } => write!(f, "{list}[{index}].{field}"),
        }
    }
}

/// What is wrong with an input.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InputProblem {
    /// The text is not a message of this type.
    #[error("{0}")]
    Syntax(String),
    /// A number is negative or not finite.
    #[error("{place}: expected a number of 0 or more, found {found}")]
    InvalidNumber {
        /// The field.
        place: Place,
        /// The number.
        found: f64,
    },
    /// A name is empty or that of an earlier element.
    #[error("{place}: expected a name of its own, found '{found}'")]
    InvalidName {
        /// The field.
        place: Place,
        /// The name.
        found: String,
    },
    /// A repeated field is empty.
    #[error("{0}: expected at least one")]
    Empty(&'static str),
    /// There are too few or too many sites.
    #[error("sites: expected {MIN_SITES} to {MAX_SITES}, found {0}")]
    SiteCount(usize),
    /// There are too many lines of demand.
    #[error("demand: expected at most {MAX_DEMAND}")]
    TooMuchDemand,
    /// A crossing would cost the whole value or more.
    #[error("crossing_cost: expected less than 1, found {0}")]
    CrossingCost(f64),
    /// A site has no capacity.
    #[error("{0}: expected units a second above 0, found 0")]
    NoCapacity(Place),
    /// No site has a gateway.
    #[error("{0}: expected some at one site at the least, found none")]
    NoGateways(Place),
    /// Demand of a class that the input does not have.
    #[error("{place}: expected a class above, found '{found}'")]
    UnknownClass {
        /// The field.
        place: Place,
        /// The class.
        found: String,
    },
    /// Demand of a plan that the input does not have.
    #[error("{place}: expected a plan above, found '{found}'")]
    UnknownPlan {
        /// The field.
        place: Place,
        /// The plan.
        found: String,
    },
    /// A class and plan that have a line of demand already.
    #[error("{place}: '{class}' of '{plan}' stands above")]
    DuplicateDemand {
        /// The field.
        place: Place,
        /// The class.
        class: String,
        /// The plan.
        plan: String,
    },
    /// All rates are zero.
    #[error("demand: expected some rate above 0")]
    NoDemand,
}
