//! The input of the planner: sites with their capacities, and the demand.

mod error;
mod parse;
mod source;

pub use error::{FieldPath, InputError, InputProblem};

/// The full name of the protobuf message that an input file holds in text form.
pub const MESSAGE_TYPE: &str = "chalkdeck.plan.v1.SiteLoss";
/// Minimum number of sites.
pub const MIN_SITES: usize = 2;
/// Maximum number of sites. The limit bounds the number of cases, as each pair of sites is one.
pub const MAX_SITES: usize = 32;
/// Maximum number of demand entries.
pub const MAX_DEMAND_ENTRIES: usize = 1_000;

/// A site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// Units per second that the site's endpoints can serve.
    pub capacity: f64,
    /// The number of gateways at the site.
    pub gateways: f64,
}

/// Calls of one class and plan, either within the quotas or over them.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The class's name.
    pub class: String,
    /// The plan's name.
    pub plan: String,
    /// Whether the calls are over the quotas.
    pub is_over_quota: bool,
    /// Calls per second.
    pub rate: f64,
    /// Units of one call.
    pub units: f64,
    /// The value of a call that is served.
    pub value: f64,
}

/// A valid input.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanningInput {
    /// All sites.
    pub sites: Vec<Site>,
    /// All demand with a rate above zero.
    pub demand: Vec<Demand>,
    /// The fraction of a call's value that is lost if another site than that of its gateway serves it.
    pub crossing_cost: f64,
}
