//! The properties of a call that rules match, and the decision about a call.

use crate::Action;

/// The properties of a call that are known when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Call<'a> {
    /// The caller's region. Empty if it is unknown; a rule with caller regions then does not match.
    pub caller_region: &'a str,
    /// The gateway's region.
    pub gateway_region: &'a str,
    /// The path. For RESP commands, a `/` and the name of the command.
    pub path: &'a str,
    /// The request class.
    pub class: &'a str,
}

/// The properties of a call that determine which rule matches it; the owned form of [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKind {
    /// The caller's region.
    pub caller_region: String,
    /// The gateway's region.
    pub gateway_region: String,
    /// The path.
    pub path: String,
    /// The request class.
    pub class: String,
}

impl CallKind {
    /// Returns the properties as a borrowed call.
    pub fn as_call(&self) -> Call<'_> {
        Call {
            caller_region: &self.caller_region,
            gateway_region: &self.gateway_region,
            path: &self.path,
            class: &self.class,
        }
    }
}

impl From<&Call<'_>> for CallKind {
    fn from(call: &Call<'_>) -> CallKind {
        CallKind {
            caller_region: call.caller_region.to_string(),
            gateway_region: call.gateway_region.to_string(),
            path: call.path.to_string(),
            class: call.class.to_string(),
        }
    }
}

/// The position of a rule in its set, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleIndex(pub u32);

/// The decision of a rule set about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Whether the call is admitted.
    pub action: Action,
    /// The rule that decided, or `None` if the default action of the set applied.
    pub rule: Option<RuleIndex>,
}
