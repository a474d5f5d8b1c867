//! The source form of a customer's rule set, and its validation.

use std::collections::HashSet;

/// Maximum number of rules in one set.
pub const MAX_RULES_PER_SET: usize = 20_000;
/// Maximum number of values in one field of a rule.
pub const MAX_VALUES_PER_FIELD: usize = 64;
/// The length limit of a name, a region or a route pattern, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;
/// Describes a valid value of any field. Contains the limit of [`MAX_TEXT_BYTES`].
const EXPECTED_VALUE: &str = "a value of 1 to 256 bytes";
/// Describes a valid route.
const EXPECTED_ROUTE: &str = "a path from '/' on, with a '*' at its end at most";

/// What is done with a call that matches a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The call is admitted.
    Allow,
    /// The call is rejected immediately as not permitted.
    Deny,
}

/// How a gateway handles a customer's calls after its session with the coordinator has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StalePolicy {
    /// Continue to apply the last known rule set.
    Keep,
    /// Deny every call of the customer.
    Deny,
}

/// One rule. A field without values matches every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The name of the rule, unique within the set.
    pub id: String,
    /// What is done with matching calls.
    pub action: Action,
    /// Regions of callers.
    pub caller_regions: Vec<String>,
    /// Regions of the gateways that receive the calls.
    pub gateway_regions: Vec<String>,
    /// Full paths, or path prefixes followed by `*`.
    pub routes: Vec<String>,
    /// Request classes.
    pub classes: Vec<String>,
}

/// A customer's rules. The first rule that matches a call decides it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSet {
    /// The customer.
    pub customer: String,
    /// The version of the set. Each new set of the customer has a larger one.
    pub version: u64,
    /// What is done with calls that match no rule.
    pub default_action: Action,
    /// How calls are handled while the gateway has no valid session.
    pub stale_policy: StalePolicy,
    /// The rules, in order of precedence.
    pub rules: Vec<Rule>,
}

/// Why a rule set is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum RuleSetError {
    /// The set has too many rules.
    #[error("rules: expected at most {MAX_RULES_PER_SET}, found {0}")]
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
    /// A rule's id is empty, too long or already used by an earlier rule.
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
        /// The invalid id.
        found: String,
    },
    /// A field of a rule has too many values.
    #[error(
        "rules[{index}].{field}: expected at most {MAX_VALUES_PER_FIELD} values, found {found}"
    )]
    #[diagnostic(
        code(chalkdeck::access::values),
        help("split the rule in two with the same action")
    )]
    TooManyValues {
        /// The rule's position.
        index: usize,
        /// The field's name.
        field: &'static str,
        /// The number of values.
        found: usize,
    },
    /// A field of a rule has an invalid value, which could never match a call.
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
        /// Description of a valid value.
        expected: &'static str,
        /// The invalid value.
        found: String,
    },
}

impl RuleSet {
    /// Validates the set.
    ///
    /// # Errors
    /// The first problem found.
    pub fn check(&self) -> Result<(), RuleSetError> {
        if !is_valid_text(&self.customer) {
            return Err(RuleSetError::InvalidCustomer);
        }
        if self.rules.len() > MAX_RULES_PER_SET {
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
    if values.len() > MAX_VALUES_PER_FIELD {
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

/// Returns whether a route is a path that has a wildcard only at its end, if any.
fn is_valid_route(route: &str) -> bool {
    let before_wildcard = route.strip_suffix('*').unwrap_or(route);
    route.starts_with('/') && !before_wildcard.contains('*')
}
