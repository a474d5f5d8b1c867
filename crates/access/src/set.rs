//! A customer's set as it is written, and what may not stand in one.

/// Rules of one set.
pub const MOST_RULES: usize = 20_000;
/// Values of one field of a rule.
pub const MOST_VALUES: usize = 64;
/// Bytes of one name, region or pattern.
pub const MOST_TEXT: usize = 256;

/// What a rule says of a call that it matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// It goes on.
    Allow,
    /// It is answered at once, as not permitted.
    Deny,
}

/// What holds at a gateway whose session with the keepers has lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stale {
    /// The set as it was last known.
    Keep,
    /// Every call of the customer is denied.
    Deny,
}

/// One rule; the first that matches decides. A field without values matches every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Names it within its set.
    pub id: String,
    /// What it says.
    pub action: Action,
    /// Regions of the caller.
    pub caller_regions: Vec<String>,
    /// Regions of the gateway that takes the call.
    pub gateway_regions: Vec<String>,
    /// Paths, whole or up to a final `*`.
    pub routes: Vec<String>,
    /// Classes of the settings.
    pub classes: Vec<String>,
}

/// A customer's rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSet {
    /// Whose they are.
    pub customer: String,
    /// Grows with each set of the customer.
    pub version: u64,
    /// Where no rule matches.
    pub default: Action,
    /// Without a session.
    pub stale: Stale,
    /// In their order.
    pub rules: Vec<Rule>,
}

/// Why a set is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum SetError {
    /// More rules than a set may have.
    #[error("rules: expected at most {MOST_RULES}, found {0}")]
    #[diagnostic(
        code(chalkdeck::access::too_many),
        help("join rules that differ in one field only: a rule takes several values of each")
    )]
    TooMany(usize),
    /// A set of nobody.
    #[error("customer: expected a name of at most {MOST_TEXT} bytes")]
    #[diagnostic(
        code(chalkdeck::access::customer),
        help("give the customer as its calls name it")
    )]
    Customer,
    /// A rule without a name of its own.
    #[error(
        "rules[{at}].id: expected a name of its own of at most {MOST_TEXT} bytes, found '{found}'"
    )]
    #[diagnostic(
        code(chalkdeck::access::id),
        help("hits and refusals name rules by their ids, so each needs another")
    )]
    Id {
        /// Its place.
        at: usize,
        /// What stood there.
        found: String,
    },
    /// More values than a field may have.
    #[error("rules[{at}].{field}: expected at most {MOST_VALUES} values, found {found}")]
    #[diagnostic(
        code(chalkdeck::access::values),
        help("split the rule in two with the same action")
    )]
    Values {
        /// The rule's place.
        at: usize,
        /// The field.
        field: &'static str,
        /// How many there were.
        found: usize,
    },
    /// A value that cannot match.
    #[error("rules[{at}].{field}: expected {expected}, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::access::value),
        help("an empty field matches every call; leave it out instead of giving an empty value")
    )]
    Value {
        /// The rule's place.
        at: usize,
        /// The field.
        field: &'static str,
        /// What can stand there.
        expected: &'static str,
        /// What stood there.
        found: String,
    },
}

impl RuleSet {
    /// Whether it can be taken.
    pub fn check(&self) -> Result<(), SetError> {
        if self.customer.is_empty() || self.customer.len() > MOST_TEXT {
            return Err(SetError::Customer);
        }
        if self.rules.len() > MOST_RULES {
            return Err(SetError::TooMany(self.rules.len()));
        }
        let mut ids = std::collections::HashSet::new();
        for (at, rule) in self.rules.iter().enumerate() {
            if rule.id.is_empty() || rule.id.len() > MOST_TEXT || !ids.insert(rule.id.as_str()) {
                return Err(SetError::Id {
                    at,
                    found: rule.id.clone(),
                });
            }
            rule.check(at)?;
        }
        Ok(())
    }
}

impl Rule {
    fn check(&self, at: usize) -> Result<(), SetError> {
        let fields = [
            ("caller_regions", &self.caller_regions),
            ("gateway_regions", &self.gateway_regions),
            ("routes", &self.routes),
            ("classes", &self.classes),
        ];
        for (field, values) in fields {
            if values.len() > MOST_VALUES {
                return Err(SetError::Values {
                    at,
                    field,
                    found: values.len(),
                });
            }
            let wrong = values.iter().find(|v| v.is_empty() || v.len() > MOST_TEXT);
            if let Some(found) = wrong {
                let expected = "a value of 1 to 256 bytes";
                return Err(SetError::Value {
                    at,
                    field,
                    expected,
                    found: found.clone(),
                });
            }
        }
        let inner = |r: &&String| !r.starts_with('/') || r[..r.len() - 1].contains('*');
        match self.routes.iter().find(inner) {
            Some(found) => {
                let expected = "a path from '/' on, with a '*' at its end at most";
                Err(SetError::Value {
                    at,
                    field: "routes",
                    expected,
                    found: found.clone(),
                })
            }
            None => Ok(()),
        }
    }
}
