//! Fair queue between the fronts and the decisions, without I/O. It admits requests in turns over customers, lets some wait for
//! a short while, and rejects at once what could not be served in time, with the time after which a retry may succeed.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995) over units. Customers with much traffic have queues of their own; all
//! others share hashed queues whose seed changes (stochastic fairness queueing, McKenney, 1990), so memory is bounded whatever
//! the number of customers.
#![forbid(unsafe_code)]

mod fair_queue;
mod heavy_hitters;
mod request;
mod round_robin;
mod settings;
mod throughput;

pub use fair_queue::FairQueue;
pub use request::{CustomerId, Request, RequestId, Verdict};
pub use settings::Settings;
