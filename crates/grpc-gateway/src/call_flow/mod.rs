//! The flow of calls through the gateway: from a client's stream to attempts at endpoints and back, as the decision engine directs.

mod accept;
mod attempts;
mod cancellation;
mod events;
mod responses;
