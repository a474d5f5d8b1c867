//! The rules of compatibility.

use std::fmt;

/// A rule that a change breaks. The variants are named as publishers read them, see [`CompatibilityRule::name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CompatibilityRule {
    /// A method was removed.
    MethodRemoved,
    /// A method changed from one message to a stream or back.
    Streaming,
    /// A field was removed and its number not reserved, so that it may be given to another field.
    FieldRemoved,
    /// A reserved number is in use again.
    NumberReused,
    /// A field has another number.
    NumberMoved,
    /// Values of the written type cannot all be read as the same values of the other type.
    Type,
    /// A singular field became repeated or a map, or the reverse.
    Cardinality,
    /// Fields that could be set together became exclusive.
    Oneof,
    /// "Not set" and "set to the default" can no longer be told apart.
    Presence,
    /// A required field is not always written.
    Required,
    /// An absent field reads as another value.
    Default,
    /// An enum has a value that its reader does not know.
    EnumValue,
    /// A number of an enum has another name.
    EnumReused,
    /// A field has another name in JSON and text.
    JsonName,
    /// A value has another form in JSON.
    JsonForm,
    /// The promised [`Idempotency`](crate::Idempotency) became weaker.
    PromiseEffect,
    /// Retries are deduplicated by fewer servers.
    PromiseGroup,
    /// Retries are deduplicated for a shorter time than they may last.
    PromiseWindow,
    /// A call has a shorter deadline.
    PromiseDeadline,
    /// A call has a shorter latency objective.
    PromiseAim,
    /// A call takes more units than a plan ever has.
    PromiseUnits,
    /// A call is shed earlier when a site is lost.
    PromiseWorth,
}

impl CompatibilityRule {
    /// The rule's name as publishers read it in the answer to a proposal. These texts are part of the wire format.
    pub fn name(self) -> &'static str {
        match self {
            CompatibilityRule::MethodRemoved => "MethodRemoved",
            CompatibilityRule::Streaming => "Streaming",
            CompatibilityRule::FieldRemoved => "FieldRemoved",
            CompatibilityRule::NumberReused => "NumberReused",
            CompatibilityRule::NumberMoved => "NumberMoved",
            CompatibilityRule::Type => "Type",
            CompatibilityRule::Cardinality => "Cardinality",
            CompatibilityRule::Oneof => "Oneof",
            CompatibilityRule::Presence => "Presence",
            CompatibilityRule::Required => "Required",
            CompatibilityRule::Default => "Default",
            CompatibilityRule::EnumValue => "EnumValue",
            CompatibilityRule::EnumReused => "EnumReused",
            CompatibilityRule::JsonName => "JsonName",
            CompatibilityRule::JsonForm => "JsonForm",
            CompatibilityRule::PromiseEffect => "PromiseEffect",
            CompatibilityRule::PromiseGroup => "PromiseGroup",
            CompatibilityRule::PromiseWindow => "PromiseWindow",
            CompatibilityRule::PromiseDeadline => "PromiseDeadline",
            CompatibilityRule::PromiseAim => "PromiseAim",
            CompatibilityRule::PromiseUnits => "PromiseUnits",
            CompatibilityRule::PromiseWorth => "PromiseWorth",
        }
    }

    /// What the publisher can do instead, in one line.
    pub fn help(self) -> &'static str {
        match self {
            CompatibilityRule::MethodRemoved => "keep the method until its callers have gone to another, then retire the versions that have it",
            CompatibilityRule::Streaming => "add a method of another name for the other way",
            CompatibilityRule::FieldRemoved => "keep the field, or put its number and its name under `reserved`",
            CompatibilityRule::NumberReused => "give the new field a number that was never used",
            CompatibilityRule::NumberMoved => "keep the number; give a new field a new name",
            CompatibilityRule::Type => "add a field of the new type under a new number and keep the old one beside it",
            CompatibilityRule::Cardinality => "add a field of the new form under a new number and keep the old one beside it",
            CompatibilityRule::Oneof => "leave fields that exist outside the oneof; put new ones in",
            CompatibilityRule::Presence => "keep `optional` on the field",
            CompatibilityRule::Required => "make it optional and check for it in the service",
            CompatibilityRule::Default => "keep the default; let the service put another one in",
            CompatibilityRule::EnumValue => "let readers go first: admit a version that knows the value, write it when the others are retired",
            CompatibilityRule::EnumReused => "give the new value a new number and keep the old one",
            CompatibilityRule::JsonName => "keep the name, or set `json_name` to the old one",
            CompatibilityRule::JsonForm => "add a field of the new type under a new number and keep the old one beside it",
            CompatibilityRule::PromiseEffect => "add a method of another name; subscribers repeat this one",
            CompatibilityRule::PromiseGroup | CompatibilityRule::PromiseWindow => "keep the promise, or wait until the subscribers named have shortened their repeats",
            CompatibilityRule::PromiseDeadline | CompatibilityRule::PromiseAim => "keep the time that was promised",
            CompatibilityRule::PromiseUnits => "raise the plans' bursts first",
            CompatibilityRule::PromiseWorth => "keep worth and units in their proportion, or wait for the subscribers named",
        }
    }
}

impl fmt::Display for CompatibilityRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
