//! Fair admission queue between a gateway's listeners and its decision engine, without I/O. It admits requests fairly over
//! customers, lets requests wait for a short time, and rejects at once those that it could not admit in time, with the delay after
//! which a retry may succeed.
//!
//! The queue uses deficit round robin (Shreedhar and Varghese, 1995) over units. Customers with heavy traffic get dedicated queues;
//! all others share queues by a hash whose seed changes (stochastic fairness queueing, McKenney, 1990), so that memory is bounded
//! for any number of customers.
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
