#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

pub mod api;
mod counter;
mod customer;
mod customer_table;
mod decision_queue;
mod endpoint;
mod engine;
mod hash;
mod pending_requests;
mod request;
mod retry_budget;
mod shedding;
mod smoothing;
mod timers;
mod token_bucket;
mod window;

pub use decision_queue::DecisionQueue;
pub use engine::DecisionEngine;
