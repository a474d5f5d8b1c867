//! Stand-ins for the counter and for the endpoints (farm servers), with fault injection over a control port.

pub mod counter;
pub mod farm;
pub mod server_model;
