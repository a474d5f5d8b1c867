//! What breaks, by which rule, and a message that shows it.

use std::fmt::{Display, Formatter};

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Written by an old subscriber, read by the new publisher.
    Request,
    /// Written by the new publisher, read by an old subscriber.
    Answer,
}

/// A rule that a change goes against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A method is gone.
    MethodRemoved,
    /// A method went from one message to a stream or back.
    Streaming,
    /// A field is gone, and its number may be given to another.
    FieldRemoved,
    /// A number that was set aside is used.
    NumberReused,
    /// A name is there under another number.
    NumberMoved,
    /// What was written cannot be read as the same value.
    Type,
    /// One became many, or many one, or a map.
    Cardinality,
    /// Fields that could stand together no longer can.
    Oneof,
    /// Set to its default and not set were told apart.
    Presence,
    /// Something has to be there that is not always written.
    Required,
    /// What is read where nothing was written is another value.
    Default,
    /// A value of an enum that its reader does not know.
    EnumValue,
    /// A number of an enum stands for another name.
    EnumReused,
    /// A field has another name in JSON and text.
    JsonName,
    /// A value has another form in JSON.
    JsonForm,
    /// See [`crate::Effect`].
    PromiseEffect,
    /// Repeats are dropped by fewer servers.
    PromiseGroup,
    /// Repeats are dropped for a shorter time than they may last.
    PromiseWindow,
    /// A call may take less time.
    PromiseDeadline,
    /// An answer in time has to come sooner.
    PromiseAim,
    /// A call takes more than a plan ever holds.
    PromiseUnits,
    /// A call stands lower when a site is lost.
    PromiseWorth,
}

impl Rule {
    /// What its publisher can do instead.
    pub fn help(self) -> &'static str {
        match self {
            Rule::MethodRemoved => "keep the method until its callers have gone to another, then retire the versions that have it",
            Rule::Streaming => "add a method of another name for the other way",
            Rule::FieldRemoved => "keep the field, or put its number and its name under `reserved`",
            Rule::NumberReused => "give the new field a number that was never used",
            Rule::NumberMoved => "keep the number; give a new field a new name",
            Rule::Type => "add a field of the new type under a new number and keep the old one beside it",
            Rule::Cardinality => "add a field of the new form under a new number and keep the old one beside it",
            Rule::Oneof => "leave fields that exist outside the oneof; put new ones in",
            Rule::Presence => "keep `optional` on the field",
            Rule::Required => "make it optional and check for it in the service",
            Rule::Default => "keep the default; let the service put another one in",
            Rule::EnumValue => "let readers go first: admit a version that knows the value, write it when the others are retired",
            Rule::EnumReused => "give the new value a new number and keep the old one",
            Rule::JsonName => "keep the name, or set `json_name` to the old one",
            Rule::JsonForm => "add a field of the new type under a new number and keep the old one beside it",
            Rule::PromiseEffect => "add a method of another name; subscribers repeat this one",
            Rule::PromiseGroup | Rule::PromiseWindow => "keep the promise, or wait until the subscribers named have shortened their repeats",
            Rule::PromiseDeadline | Rule::PromiseAim => "keep the time that was promised",
            Rule::PromiseUnits => "raise the plans' bursts first",
            Rule::PromiseWorth => "keep worth and units in their proportion, or wait for the subscribers named",
        }
    }
}

/// Something that shows a break.
#[derive(Clone, Debug, PartialEq)]
pub enum Witness {
    /// A message.
    Message {
        /// Which way it goes.
        direction: Direction,
        /// Its type, as its writer names it.
        message: String,
        /// Its bytes.
        bytes: Vec<u8>,
        /// What its writer means, as text.
        written: String,
        /// What its reader makes of it, as text.
        read: String,
    },
    /// A call, in words.
    Call(String),
}

/// One break.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Method, direction and field.
    pub path: String,
    /// The rule.
    pub rule: Rule,
    /// What was and what is proposed.
    pub what: String,
    /// What shows it.
    pub witness: Witness,
}

impl Display for Break {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {:?}: {}", self.path, self.rule, self.what)?;
        match &self.witness {
            Witness::Call(call) => write!(f, "; {call}"),
            Witness::Message {
                message,
                written,
                read,
                ..
            } => {
                write!(f, "; {message} {{ {written} }} is read as {{ {read} }}")
            }
        }
    }
}
