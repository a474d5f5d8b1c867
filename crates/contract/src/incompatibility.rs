//! An incompatibility of two versions and the witness that shows it.

use crate::CompatibilityRule;
use std::fmt;

/// The direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Written by an old subscriber, read by the new publisher.
    Request,
    /// Written by the new publisher, read by an old subscriber.
    Response,
}

/// A message or a call that shows an incompatibility.
#[derive(Clone, Debug, PartialEq)]
pub enum Witness {
    /// A message to which the reader gives another meaning than the writer.
    Message {
        /// The direction of the message.
        direction: Direction,
        /// The full name of the message's type in the writer's version.
        message: String,
        /// The message in binary form.
        bytes: Vec<u8>,
        /// The message as its writer means it, in text or JSON form.
        written: String,
        /// The message as its reader decodes it, in the same form, or why the reader cannot decode it.
        read: String,
    },
    /// A description of a call whose outcome differs from before.
    Call(String),
}

/// A change that breaks a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Incompatibility {
    /// The method; for a message, followed by the direction and the path of the field.
    pub path: String,
    /// The rule that is broken.
    pub rule: CompatibilityRule,
    /// A description of the old and the proposed state.
    pub change: String,
    /// A message or a call that shows the incompatibility.
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
