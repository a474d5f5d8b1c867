//! A customer's rule set as it is written, and its validation.

use std::collections::HashSet;

/// The most rules of one set.
pub const MAX_RULES: usize = 20_000;
/// The most values of one field of a rule.
pub const MAX_VALUES: usize = 64;
/// The most bytes of one name, region or pattern.
pub const MAX_TEXT_BYTES: usize = 256;
/// What a value of any field has to be. Names the same limit as [`MAX_TEXT_BYTES`].
const EXPECTED_VALUE: &str = "a value of 1 to 256 bytes";
/// What a route has to be.
const EXPECTED_ROUTE: &str = "a path from '/' on, with a '*' at its end at most";

/// What a rule does with a call that it matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The call is admitted.
    Allow,
    /// The call is answered at once, as not permitted.
    Deny,
}

/// What holds at a gateway whose session with the replicated state has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StalePolicy {
    /// The set as it was last known.
    Keep,
    /// Every call of the customer is denied.
    Deny,
}

/// One rule. A field without values matches every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Its name within the set.
    pub id: String,
    /// What it does with the calls that it matches.
    pub action: Action,
    /// Regions of the caller.
    pub caller_regions: Vec<String>,
    /// Regions of the gateway that takes the call.
    pub gateway_regions: Vec<String>,
    /// Paths, whole or up to a final `*`.
    pub routes: Vec<String>,
    /// Request classes.
    pub classes: Vec<String>,
}

/// A customer's rules. The first rule that matches a call decides it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSet {
    /// The customer.
    pub customer: String,
    /// Grows with each set of the customer.
    pub version: u64,
    /// What is done with calls that no rule matches.
    pub default_action: Action,
    /// What holds while the gateway has no session.
    pub stale_policy: StalePolicy,
    /// The rules in their order.
    pub rules: Vec<Rule>,
}

/// Why a set is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum RuleSetError {
    /// The set has too many rules.
    #[error("rules: expected at most {MAX_RULES}, found {0}")]
    #[diagnostic(
        code(chalkdeck::access::too_many),
        help("join rules that differ in one field only: a rule takes several values of each")
    )]
    TooManyRules(usize),
    /// The customer's name is empty or too long.
    #[error("customer: expected a name of at most {MAX_TEXT_BYTES} bytes")]
    #[diagnostic(
        code(chalkdeck::access::customer),
        help("give the customer as its calls name it")
    )]
    InvalidCustomer,
    /// A rule's id is empty, too long or that of an earlier rule.
    #[error(
        "rules[{index}].id: expected a name of its own of at most {MAX_TEXT_BYTES} bytes, found '{found}'"
    )]
    #[diagnostic(
        code(chalkdeck::access::id),
        help("hits and refusals name rules by their ids, so each needs another")
    )]
    InvalidId {
        /// The rule's position.
        index: usize,
        /// The id.
        found: String,
    },
    /// A field of a rule has too many values.
    #[error("rules[{index}].{field}: expected at most {MAX_VALUES} values, found {found}")]
    #[diagnostic(
        code(chalkdeck::access::values),
        help("split the rule in two with the same action")
    )]
    TooManyValues {
        /// The rule's position.
        index: usize,
        /// The field's name.
        field: &'static str,
        /// How many values it has.
        found: usize,
    },
    /// A field of a rule has a value that can never match.
    #[error("rules[{index}].{field}: expected {expected}, found '{found}'")]
    #[diagnostic(
        code(chalkdeck::access::value),
        help("an empty field matches every call; leave it out instead of giving an empty value")
    )]
    InvalidValue {
        /// The rule's position.
        index: usize,
        /// The field's name.
        field: &'static str,
        /// What the field can have.
        expected: &'static str,
        /// The value.
        found: String,
    },
}

impl RuleSet {
    /// Checks whether the set can be applied.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), RuleSetError> {
        if !is_valid_text(&self.customer) {
            return Err(RuleSetError::InvalidCustomer);
        }
        if self.rules.len() > MAX_RULES {
            return Err(RuleSetError::TooManyRules(self.rules.len()));
        }
        let mut ids = HashSet::new();
        for (index, rule) in self.rules.iter().enumerate() {
            if !is_valid_text(&rule.id) || !ids.insert(rule.id.as_str()) {
                return Err(RuleSetError::InvalidId {
                    index,
                    found: rule.id.clone(),
                });
            }
            rule.check(index)?;
        }
        Ok(())
    }
}

impl Rule {
    fn check(&self, index: usize) -> Result<(), RuleSetError> {
        check_values(index, "caller_regions", &self.caller_regions)?;
        check_values(index, "gateway_regions", &self.gateway_regions)?;
        check_values(index, "routes", &self.routes)?;
        check_values(index, "classes", &self.classes)?;
        match self.routes.iter().find(|route| !is_valid_route(route)) {
            None => Ok(()),
            Some(route) => Err(RuleSetError::InvalidValue {
                index,
                field: "routes",
                expected: EXPECTED_ROUTE,
                found: route.clone(),
            }),
        }
    }
}

fn check_values(index: usize, field: &'static str, values: &[String]) -> Result<(), RuleSetError> {
    if values.len() > MAX_VALUES {
        return Err(RuleSetError::TooManyValues {
            index,
            field,
            found: values.len(),
        });
    }
    match values.iter().find(|value| !is_valid_text(value)) {
        None => Ok(()),
        Some(value) => Err(RuleSetError::InvalidValue {
            index,
            field,
            expected: EXPECTED_VALUE,
            found: value.clone(),
        }),
    }
}

fn is_valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

/// Whether the text is a path, with a wildcard at its end at most.
fn is_valid_route(route: &str) -> bool {
    let before_wildcard = route.strip_suffix('*').unwrap_or(route);
    route.starts_with('/') && !before_wildcard.contains('*')
}
