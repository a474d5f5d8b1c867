//! The interface of the decision engine: its settings, the events it takes and the actions it
//! gives. Nothing here decides.

mod ids;
mod messages;
mod settings;
mod status;

pub use chalkdeck_time::{TimeDelta, Timestamp};
pub use ids::{
    CellId, ClassId, CounterKey, CustomerId, EndpointId, PlanId, RequestId, TimerId, ZoneId,
};
pub use messages::{
    Action, AttemptResult, EndpointEntry, EndpointState, Event, IncomingRequest, LoadReport,
    Outcome, SheddingThreshold, UpdateScope, ZoneShare,
};
pub use settings::{Class, Idempotency, KeyScope, Plan, Settings, SettingsError};
pub use status::{EndpointConcurrency, QuotaStatus};
