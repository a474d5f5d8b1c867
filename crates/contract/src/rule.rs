//! The rules that a compatible change keeps.

use std::fmt;

/// A rule that an incompatible change breaks. Reports to publishers name it by its variant, see [`CompatibilityRule::name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CompatibilityRule {
    /// A method was removed.
    MethodRemoved,
    /// The request or the response of a method changed from a single message to a stream, or the reverse.
    Streaming,
    /// A field was removed and its number not reserved, so that another field may reuse the number.
    FieldRemoved,
    /// A field uses a reserved number.
    NumberReused,
    /// A field has another number.
    NumberMoved,
    /// Some values of the writer's type cannot be read as the same values of the reader's type.
    Type,
    /// A singular field became repeated or a map, or the reverse.
    Cardinality,
    /// Fields that could be set together became members of one oneof.
    Oneof,
    /// The reader can no longer distinguish an unset field from one that is set to its default.
    Presence,
    /// A field that the reader requires is not always written.
    Required,
    /// An absent field reads as another default value.
    Default,
    /// The reader does not know a value of an enum.
    EnumValue,
    /// An enum value has another name for its number, or another number for its name.
    EnumReused,
    /// A field has another name in JSON and text.
    JsonName,
    /// Values of a field have another form in JSON.
    JsonForm,
    /// The promised [`Idempotency`](crate::Idempotency) became weaker.
    PromiseEffect,
    /// Fewer endpoints deduplicate retries together: the [`KeyScope`](crate::KeyScope) became smaller.
    PromiseGroup,
    /// Endpoints deduplicate retries for a shorter time than clients retry.
    PromiseWindow,
    /// A call has a shorter deadline.
    PromiseDeadline,
    /// A call has a shorter latency objective.
    PromiseAim,
    /// A call takes more units than the burst of a plan, so that the plan never admits it.
    PromiseUnits,
    /// A call has a lower priority weight per unit, so that it is shed earlier when a site is lost.
    PromiseWorth,
}

impl CompatibilityRule {
    /// The rule's name in the response to a publisher's proposal; part of the wire format.
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

    /// What the publisher can do instead, in one line; part of the wire format.
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
