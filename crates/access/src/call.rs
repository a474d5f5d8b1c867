//! A call as the rules see it, and what they decide about it.

use crate::Action;

/// What is known of a call when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Call<'a> {
    /// The caller's region; empty if it is not known, and then no rule that names regions matches.
    pub caller_region: &'a str,
    /// The gateway's region.
    pub gateway_region: &'a str,
    /// The path; for RESP commands the command's name after a `/`.
    pub path: &'a str,
    /// The request class.
    pub class: &'a str,
}

/// What calls have in common that all rules treat alike; a [`Call`] that owns its texts.
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
    /// Any call of this kind.
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

/// The position of a rule in its set, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleIndex(pub u32);

/// What a rule set decides about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Whether the call is admitted.
    pub action: Action,
    /// The rule that decided; `None` for the set's default.
    pub rule: Option<RuleIndex>,
}
