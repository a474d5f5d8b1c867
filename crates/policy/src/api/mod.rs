//! The interface of the decision engine: its settings, the events that it handles and the actions
//! that it returns. This module contains types only, no decision logic.

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
