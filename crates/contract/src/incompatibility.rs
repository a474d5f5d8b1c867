//! One incompatibility of two versions, and what shows it.

use crate::CompatibilityRule;
use std::fmt;

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Written by an old subscriber, read by the new publisher.
    Request,
    /// Written by the new publisher, read by an old subscriber.
    Response,
}

/// Evidence of an incompatibility.
#[derive(Clone, Debug, PartialEq)]
pub enum Witness {
    /// A message that its reader reads otherwise than its writer means it.
    Message {
        /// Which way it goes.
        direction: Direction,
        /// The full name of its type at its writer.
        message: String,
        /// Its binary form.
        bytes: Vec<u8>,
        /// What its writer means, as text.
        written: String,
        /// What its reader reads, as text.
        read: String,
    },
    /// A call that goes otherwise than before, in words.
    Call(String),
}

/// A change that breaks a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Incompatibility {
    /// The method; of a message also its direction and the path of the field.
    pub path: String,
    /// The rule that is broken.
    pub rule: CompatibilityRule,
    /// What was and what is proposed.
    pub change: String,
    /// What shows it.
    pub witness: Witness,
}

impl fmt::Display for Incompatibility {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.path, self.rule, self.change)?;
        match &self.witness {
            Witness::Call(call) => write!(f, "; {call}"),
            Witness::Message {
                message,
                written,
                read,
                ..
            } => write!(f, "; {message} {{ {written} }} is read as {{ {read} }}"),
        }
    }
}
