//! What is planned for: sites with their capacities, and the demand.

mod error;
mod parse;
mod source;

pub use error::{InputError, InputProblem, Place};

/// The full name of the protobuf message that an input file holds as text.
pub const MESSAGE: &str = "chalkdeck.plan.v1.SiteLoss";
/// The least number of sites.
pub const MIN_SITES: usize = 2;
/// The most sites; each pair of them is a case of its own.
pub const MAX_SITES: usize = 32;
/// The most lines of demand.
pub const MAX_DEMAND: usize = 1_000;

/// A site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Units a second that its servers bear.
    pub capacity: f64,
    /// The number of gateways that stand there.
    pub gateways: f64,
}

/// Calls of one class and plan, either within the quotas or beyond them.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The class's name.
    pub class: String,
    /// The plan's name.
    pub plan: String,
    /// Whether the calls are beyond the quotas.
    pub is_over_quota: bool,
    /// Calls a second.
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
    /// The part of a call's value that is lost if another site than its gateway's serves it.
    pub crossing_cost: f64,
}
