//! Types that are shared by the modules of the gateway. They depend on none of these modules.

pub(crate) mod call_head;
pub(crate) mod errors;
pub(crate) mod listed_endpoint;
pub(crate) mod settings;
